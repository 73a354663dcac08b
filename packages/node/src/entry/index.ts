/** The entry: one process between callers and a platform's endpoints. */
export {
  type ChannelAnswer,
  type ChannelRequest,
  type Channels,
  createChannels,
} from "./channels.ts";
export { entryEvents } from "./events.ts";
export { type CallerRequest } from "./front_server.ts";
export { type EntryCommand, runEntry } from "./run_entry.ts";
export type {
  CallCodec,
  EntryPlatform,
  OnUnusable,
  ReadConfiguration,
  StoreTopics,
} from "./platform.ts";
export {
  type EntrySettings,
  entrySettingsSchema,
  readEntrySettings,
} from "./settings.ts";
export { type Entry, type EntryOptions, startEntry } from "./start_entry.ts";
