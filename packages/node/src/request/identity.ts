/** Identifies callers by their API keys, which the bundle holds as digests. */
import type { IncomingMessage } from "node:http";
import {
  type BundleCaller,
  digestText,
  type Refusal,
  RefusalReason,
} from "@trefoildoor/core";
import { type Either, Left, Right } from "purify-ts";
import type { VersionView } from "../version/view.ts";
import { refuseNotRun } from "./refusals.ts";

const bearerPattern = /^Bearer +(\S{1,512})$/i;

/** Finds the caller whose API key the request carries; refuses a missing or unknown key. */
export function findCaller(
  request: IncomingMessage,
  version: VersionView,
): Either<Refusal, BundleCaller> {
  const key = bearerPattern.exec(request.headers.authorization ?? "")?.[1];
  if (!key) {
    return Left(
      refuseNotRun(
        RefusalReason.Unauthorized,
        'Header "authorization" holds no API key',
      ),
    );
  }
  // The map is keyed by digest, so the duration of the look-up reveals nothing about the key.
  const caller = version.callersByKey.get(digestText(key));
  if (!caller) {
    return Left(
      refuseNotRun(RefusalReason.Unauthorized, "API key is not known"),
    );
  }
  return Right(caller);
}
