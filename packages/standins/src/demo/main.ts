/** Command line of the demo. */
import process from "node:process";
import sade from "sade";
import { runDemo } from "./run_demo.ts";

function main(): void {
  const program = sade("demo", true);
  program
    .describe("Run a whole fleet of the tent rental association on loopback")
    .option("--keep", "Leave the fleet running and print a line to try", false)
    .option("--seconds", "Length of the load", 8)
    .option("--seed", "Seed of the load", 1)
    .action(
      async (options: { keep: boolean; seconds: number; seed: number }) => {
        const isGood = await runDemo({
          keep: options.keep,
          seconds: Number(options.seconds),
          seed: Number(options.seed),
          print: (line) => console.log(line),
        });
        if (!options.keep || !isGood) process.exit(isGood ? 0 : 1);
      },
    );
  program.parse(process.argv, {
    unknown: (option: string) => `Unknown option: ${option}`,
  });
}

main();
