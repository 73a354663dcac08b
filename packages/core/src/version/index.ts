/** Parts that live as long as one version. */
export {};
