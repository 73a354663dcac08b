/** Public parts of this package. */
export {};
