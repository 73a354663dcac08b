/** Which endpoints and instances take work. */
export {};
