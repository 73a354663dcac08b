/** Headers of calls that instances hand over to each other, and which headers of a call and its answer pass. */
import type { LeaveReports, ListedEndpoint } from "@trefoildoor/core";

/** Headers of the link between instances, in lower case. */
export enum LinkHeader {
  /** Key of the instance that the call is handed to. */
  Key = "trefoildoor-key",
  /** Name of the instance that hands the call over. */
  From = "trefoildoor-from",
  /** Time since the call was received from its caller, in ms. */
  AgeMs = "trefoildoor-age-ms",
  /** Random text of one try; the answers of the instance repeat it, which shows that it gave them to this call. */
  Try = "trefoildoor-try",
  /** On answers: the instance did not take the call, and why. */
  Refused = "trefoildoor-refused",
  /** On answers: the endpoint's answer had no length; between instances it comes in chunks, so that a break shows. */
  Unframed = "trefoildoor-unframed",
  /** On answers: start of its process and name of the answer's endpoint, which says in it that it leaves. */
  Leaving = "trefoildoor-leaving",
}

const linkPrefix = "trefoildoor-";
/** Headers that apply to a single connection. */
const connectionHeaders = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Encodes what an endpoint says of leaving. */
export function encodeLeaving(
  { name, startedAtMs }: Pick<ListedEndpoint, "name" | "startedAtMs">,
): string {
  return `${startedAtMs} ${name}`;
}

/** Decodes what the endpoint of a peer's answer says of leaving; empty if it says nothing. */
export function decodeLeaving(headers: readonly string[]): LeaveReports {
  const value = findHeader(headers, LinkHeader.Leaving);
  const [, startedAtMs, name = ""] = value?.match(/^(\d+) (.+)$/) ?? [];
  return startedAtMs === undefined ? {} : { [name]: Number(startedAtMs) };
}

/** Returns the headers, as names and values in turn, without those of one connection and of the link. */
export function pickPassedHeaders(headers: readonly string[]): string[] {
  const passed: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]?.toLowerCase() ?? "";
    if (connectionHeaders.has(name) || name.startsWith(linkPrefix)) continue;
    passed.push(headers[index] ?? "", headers[index + 1] ?? "");
  }
  return passed;
}

/** Returns the first value of a header, or undefined; `name` is in lower case. */
export function findHeader(
  headers: readonly string[],
  name: string,
): string | undefined {
  const index = headers.findIndex((each, at) =>
    at % 2 === 0 && each.toLowerCase() === name
  );
  return index < 0 ? undefined : headers[index + 1];
}
