/**
 * What the entry needs from the adapter of a platform: names, formats and
 * calls. The adapter decides nothing.
 */
import type {
  AnswerHead,
  DutyClaim,
  EngineControl,
  ExportedPrompt,
  ForwardCall,
  ListedEndpoint,
  OwnTopic,
  PeerAddress,
  ReadableTopic,
  RoutingConfiguration,
  SendFacts,
} from "@trefoildoor/core";
import type { ChannelRequest, Channels } from "./channels.ts";
import type { FrontRequest } from "./front_server.ts";

/** Topics of the platform's store. */
export interface StoreTopics {
  readonly configuration: ReadableTopic<RoutingConfiguration>;
  readonly endpoints: ReadableTopic<ListedEndpoint>;
  readonly instances: OwnTopic<PeerAddress>;
  readonly duties: OwnTopic<DutyClaim>;
}

/** Called with a record that cannot be decoded. */
export type OnUnusable = (
  record: {
    readonly topic: string;
    readonly key: string;
    readonly why: string;
  },
) => void;

/** Translates calls between the wire and the library's types. */
export interface CallCodec {
  /** Undefined where the call cannot be one of a caller of the platform. */
  readonly decodeCall: (request: FrontRequest) => ForwardCall | undefined;
  readonly encodeSend: (call: ForwardCall, facts: SendFacts) => ChannelRequest;
  readonly decodeHead: (
    status: number,
    headers: readonly string[],
  ) => AnswerHead;
  readonly decodeExport: (
    endpoint: ListedEndpoint,
    body: Buffer,
  ) => ExportedPrompt | undefined;
  readonly encodeRelease: (exported: ExportedPrompt) => ChannelRequest;
}

/** The adapter of one platform. */
export interface EntryPlatform {
  readonly openTopics: (
    options: {
      readonly address: string;
      readonly channels: Channels;
      readonly onUnusable: OnUnusable;
      /** Called after each call to the store, with its name. */
      readonly onCall: (call: string) => void;
    },
  ) => StoreTopics;
  readonly codec: CallCodec;
  readonly createEngineControl: (channels: Channels) => EngineControl;
}
