/** Runs a bare pipe in a process of its own: `pipe_main ENGINE_ADDRESS`. */
import process from "node:process";
import { startPipe } from "./pipe.ts";

const [, , engineAddress = ""] = process.argv;
const pipe = await startPipe(engineAddress);
console.log(pipe.address);
process.once("SIGTERM", () => process.exit(0));
