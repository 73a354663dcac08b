/** Sends calls to endpoints over pooled connections, encoded by the platform's codec. */
import {
  ConnectionAttempt,
  type EndpointAnswer,
  type EndpointSender,
  type LogEvent,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import { entryEvents } from "./events.ts";
import type { CallCodec } from "./platform.ts";

const releaseTimeoutMs = 1_000;
const probeTimeoutMs = 200;

/**
 * Resolves after the event loop has polled all connections once more. A process
 * that was blocked reads a caller's request before it sees that the caller has
 * left in the meantime.
 */
async function waitForPoll(): Promise<void> {
  // The first of the two runs before the next poll.
  await waitForTurn();
  await waitForTurn();
}

function waitForTurn(): Promise<void> {
  return new Promise((resolve) => void setImmediate(resolve));
}

/** Creates the sender; a failed release of an exported prompt is logged and not retried. */
export function createEndpointSender(
  codec: CallCodec,
  options: {
    readonly channels: Channels;
    readonly logEvent: LogEvent;
  },
): EndpointSender {
  const { channels, logEvent } = options;
  return {
    async send(
      call,
      facts,
      { signal, ...options },
    ): Promise<EndpointAnswer> {
      await waitForPoll();
      const request = codec.encodeSend(call, facts);
      const answer = await channels.exchange(facts.endpoint.address, {
        ...request,
        ...options,
        id: call.id,
        signal,
      });
      const head = codec.decodeHead(answer.status, answer.headers);
      if (head.notRun) answer.recordRefusal();
      return {
        head,
        framed: answer.framed,
        connectedMs: answer.connectedMs,
        earlierAnswers: answer.earlierAnswers,
        refusedBefore: answer.refusedBefore,
        body: answer.body,
        closeAfterwards: answer.closeAfterwards,
      };
    },
    isConnected: ({ address }, { maxIdleMs } = {}) =>
      channels.hasIdle(address, maxIdleMs),
    hasEnded: async ({ address }) =>
      await channels.probe(address, probeTimeoutMs) ===
        ConnectionAttempt.Refused,
    decodeExport: codec.decodeExport,
    findWeightsVersion: codec.findWeightsVersion,
    releaseExport(endpoint, exported): void {
      channels.exchange(endpoint.address, {
        ...codec.encodeRelease(exported),
        signal: AbortSignal.timeout(releaseTimeoutMs),
      }).then(async (answer) => {
        for await (const _chunk of answer.body);
      }).catch((error: unknown) =>
        logEvent(entryEvents.releaseFailed, {
          endpoint: endpoint.name,
          error: String(error),
        })
      );
    },
  };
}
