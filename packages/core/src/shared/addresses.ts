/** Addresses of processes: an IPv4 number and a port, separated by a colon. */

const addressForm = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const maxOctet = 255;
const maxPort = 65_535;

/** Whether a text is an IPv4 number and a port that connections can be opened to. */
export function isAddress(text: string): boolean {
  const numbers = addressForm.exec(text)?.slice(1).map(Number);
  const port = numbers?.pop();
  return numbers !== undefined && port !== undefined && port > 0 &&
    port <= maxPort && numbers.every((octet) => octet <= maxOctet);
}
