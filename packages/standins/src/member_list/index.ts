/** Stand-in for the platform's list of processes. */
export * from "./member_list_standin.ts";
