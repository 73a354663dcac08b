/** HTTP adapters of engines and services. */
export {};
