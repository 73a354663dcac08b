/** HTTP adapters of the platform's services. */
export {};
