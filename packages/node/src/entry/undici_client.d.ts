/** Types of undici's client module; importing the whole package takes three times as long at start. */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";
  export default Client;
}
