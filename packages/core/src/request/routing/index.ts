/** Choice of an engine for a request. */
export {};
