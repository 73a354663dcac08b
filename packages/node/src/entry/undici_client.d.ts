/** The client alone: the whole package costs three times the start-up time. */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";
  export default Client;
}
