/** Bundles: parsing, findings, sign-off, differences. */
export {};
