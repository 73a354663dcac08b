/** One completion from admission to its last token. */
export {};
