/** Writes a generation as server-sent events. */
import type { ServerResponse } from "node:http";
import type { LoadReport } from "@trefoildoor/core";
import type { Sequence } from "./batch.ts";
import { GenerationEnd } from "./engine_options.ts";

/** How a stream is written. */
export interface StreamOptions {
  /** Index of the first token to write. */
  readonly fromIndex: number;
  readonly buildLoad: () => LoadReport;
  /** Whether the engine may write now; a paused one may not. */
  readonly isOpen: () => boolean;
  /** Called once when the stream is over or its reader is gone. */
  readonly onClose: () => void;
}

/** A stream in progress. */
export interface TokenStream {
  /** Writes what is there. */
  readonly flush: () => void;
}

/** Starts to write a sequence; load reports ride on the first and the last event. */
export function startTokenStream(
  response: ServerResponse,
  sequence: Sequence,
  options: StreamOptions,
): TokenStream {
  let next = options.fromIndex - sequence.firstIndex;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  response.write(formatLoad(options.buildLoad()));
  const flush = (): void => {
    if (!options.isOpen() || response.writableEnded) return;
    while (next < sequence.tokens.length) {
      const text = sequence.tokens[next] ?? "";
      response.write(formatToken(text, sequence.firstIndex + next));
      next++;
    }
    if (!sequence.record.end) return;
    if (sequence.record.end === GenerationEnd.Finished) {
      response.end(
        formatLoad(options.buildLoad()) + formatFinish(sequence),
      );
    } else response.destroy();
  };
  sequence.listeners.add(flush);
  response.once("close", () => {
    sequence.listeners.delete(flush);
    options.onClose();
  });
  flush();
  return { flush };
}

function formatLoad(report: LoadReport): string {
  return `event: load\ndata: ${JSON.stringify(report)}\n\n`;
}

function formatToken(text: string, index: number): string {
  const choice = `{"index":0,"text":${
    JSON.stringify(text)
  },"finish_reason":null}`;
  return `data: {"choices":[${choice}],"token_index":${index}}\n\n`;
}

function formatFinish(sequence: Sequence): string {
  const chunk = {
    choices: [{ index: 0, text: "", finish_reason: sequence.finish }],
    usage: {
      prompt_tokens: sequence.promptTokens,
      completion_tokens: sequence.firstIndex + sequence.tokens.length,
    },
  };
  return `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`;
}
