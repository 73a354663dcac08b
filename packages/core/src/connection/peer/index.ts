/** Exchange between instances. */
export {};
