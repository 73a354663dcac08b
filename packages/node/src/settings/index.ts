/** The daemon's settings. */
export { readSettings } from "./read.ts";
export { type Settings, settingsSchema, type TlsSettings } from "./schema.ts";
export { type Environment, readSecret } from "./secrets.ts";
