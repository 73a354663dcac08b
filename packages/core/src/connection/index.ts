/** Parts that live as long as one connection. */
export {};
