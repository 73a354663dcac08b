/** Parts that live as long as one process. */
export {};
