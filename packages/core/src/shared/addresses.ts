/** Addresses of processes: an IP number and a port, separated by a colon. */
import { isIP, isIPv4 } from "node:net";

const addressForm = /^(?:\[([^\]]+)\]|([^:]+)):([0-9]{1,5})$/;
const maxPort = 65_535;

/** Whether a text is an IP number and a port that connections can be opened to; version 6 numbers stand in brackets. */
export function isAddress(text: string): boolean {
  const match = addressForm.exec(text);
  const port = Number(match?.[3]);
  return port >= 1 && port <= maxPort &&
    isIP(match?.[1] ?? match?.[2] ?? "") !== 0;
}

/** Whether a text is an address with an IP number of version 4. */
export function isIpv4Address(text: string): boolean {
  return isAddress(text) && isIPv4(text.slice(0, text.lastIndexOf(":")));
}
