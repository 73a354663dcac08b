/** Role decisions of a pool. */
export {};
