/**
 * Interfaces that a platform's adapter implements for the entry: wire names,
 * formats and calls. The adapter contains no routing or retry decisions.
 */
import type {
  AnswerHead,
  DutyClaim,
  EngineControl,
  ExportedPrompt,
  Finding,
  ForwardCall,
  ListedEndpoint,
  OperatorApi,
  OperatorRecord,
  PeerAddress,
  ReadableTopic,
  RecordedVersion,
  RoutingConfiguration,
  SendParameters,
  StoredCrashes,
  WritableTopic,
} from "@trefoildoor/core";
import type { ChannelRequest, Channels } from "./channels.ts";
import type { CallerRequest } from "./front_server.ts";

/** Topics of the platform's store, with decoded records. */
export interface StoreTopics {
  readonly configuration: ReadableTopic<RoutingConfiguration>;
  readonly endpoints: ReadableTopic<ListedEndpoint>;
  readonly instances: WritableTopic<PeerAddress>;
  readonly duties: WritableTopic<DutyClaim>;
  /** Claims of the calls to the operator, and the usage reports that are fixed; one topic, so that each is appended on the condition that no other was. */
  readonly operator: WritableTopic<OperatorRecord>;
  /** Crash evidence, one record for each instance. */
  readonly crashes: WritableTopic<StoredCrashes>;
  /** Software versions that services have had lately. */
  readonly versions: WritableTopic<RecordedVersion>;
}

/** Called for each record that cannot be decoded; `why` names the fault. */
export type OnUnusable = (
  record: {
    readonly topic: string;
    readonly key: string;
    readonly why: string;
  },
) => void;

/** Converts between the platform's wire format and the library's types. */
export interface CallCodec {
  /** Undefined if the request is not a valid call of the platform. */
  readonly decodeCall: (request: CallerRequest) => ForwardCall | undefined;
  readonly encodeSend: (
    call: ForwardCall,
    facts: SendParameters,
  ) => ChannelRequest;
  readonly decodeHead: (
    status: number,
    headers: readonly string[],
  ) => AnswerHead;
  readonly decodeExport: (
    endpoint: ListedEndpoint,
    body: Buffer,
  ) => ExportedPrompt | undefined;
  readonly findWeightsVersion: (events: Buffer) => number | undefined;
  readonly encodeRelease: (exported: ExportedPrompt) => ChannelRequest;
}

/** Result of decoding a configuration. */
export interface ReadConfiguration {
  /** Undefined if there are findings. */
  readonly configuration?: RoutingConfiguration;
  /** Faults for which an entry refuses the configuration; keys are in none. */
  readonly findings: readonly Finding[];
}

/** Adapter between the entry and one platform. */
export interface EntryPlatform {
  readonly openTopics: (
    options: {
      readonly address: string;
      readonly channels: Channels;
      readonly onUnusable: OnUnusable;
      /** Called after each call to the store with its name, for the metrics. */
      readonly onCall: (call: string) => void;
    },
  ) => StoreTopics;
  readonly codec: CallCodec;
  /** Decodes the value that the store holds for a configuration; `source` is the place of the findings. */
  readonly readConfiguration: (
    bytes: Buffer,
    source: string,
  ) => ReadConfiguration;
  readonly createEngineControl: (channels: Channels) => EngineControl;
  /** Creates the client of the operator's API at an address. */
  readonly createOperatorApi: (
    address: string,
    channels: Channels,
  ) => OperatorApi;
}
