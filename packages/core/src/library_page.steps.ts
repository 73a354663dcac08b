/** Steps of `library_page.feature`. */
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { pathToFileURL } from "node:url";
import { After, Given, Then } from "@cucumber/cucumber";
import ts from "typescript";

/** State of one scenario. */
interface LibraryWorld {
  examplesDirectory?: string;
  examples: readonly string[];
}

const pagePath = "docs/LIBRARY.md";
const packageName = "@trefoildoor/core";
/** Far above the usual duration, so that only a hung example exceeds it. */
const examplesTimeoutMs = 120_000;

After(function (this: LibraryWorld): void {
  if (this.examplesDirectory) {
    rmSync(this.examplesDirectory, { recursive: true });
  }
});

Given(
  "the examples of docs\\/LIBRARY.md in a directory of their own",
  function (this: LibraryWorld): void {
    const page = readFileSync(pagePath, "utf8");
    const blocks = [
      ...page.matchAll(/^```ts\n\/\/ (\w+)\.ts\n([\s\S]*?)^```/gm),
    ];
    const directory = mkdtempSync(join(tmpdir(), "trefoildoor-library-"));
    this.examplesDirectory = directory;
    this.examples = blocks.map(([, name = "", text = ""]) => {
      writeFileSync(join(directory, `${name}.ts`), text);
      writeFileSync(join(directory, `${name}.mjs`), convertExample(text));
      return join(directory, name);
    });
    assert.equal(page.match(/^```ts$/gm)?.length, this.examples.length);
    assert.ok(this.examples.length >= 10);
  },
);

Then(
  "each example type-checks",
  { timeout: examplesTimeoutMs },
  function (this: LibraryWorld): void {
    const program = ts.createProgram(
      this.examples.map((path) => `${path}.ts`),
      {
        strict: true,
        noEmit: true,
        skipLibCheck: true,
        allowImportingTsExtensions: true,
        noUncheckedIndexedAccess: true,
        target: ts.ScriptTarget.ES2023,
        module: ts.ModuleKind.ESNext,
        moduleResolution: ts.ModuleResolutionKind.Bundler,
        types: ["node"],
        typeRoots: [resolve("node_modules/@types")],
        paths: { [packageName]: [resolve("packages/core/dist/index.d.ts")] },
      },
    );
    const messages = ts.getPreEmitDiagnostics(program).map((diagnostic) =>
      `${diagnostic.file?.fileName}: ${
        ts.flattenDiagnosticMessageText(diagnostic.messageText, "\n")
      }`
    );
    assert.deepEqual(messages, []);
  },
);

Then(
  "each example runs to its end",
  { timeout: examplesTimeoutMs },
  async function (this: LibraryWorld): Promise<void> {
    for (const path of this.examples) {
      await import(pathToFileURL(`${path}.mjs`).href);
    }
  },
);

/** Compiles an example to JavaScript that imports the built package by file URL. */
function convertExample(text: string): string {
  const { outputText } = ts.transpileModule(text, {
    compilerOptions: {
      target: ts.ScriptTarget.ES2023,
      module: ts.ModuleKind.ESNext,
    },
  });
  const built = pathToFileURL(resolve("packages/core/dist/index.js")).href;
  return outputText.replaceAll(`"${packageName}"`, JSON.stringify(built))
    .replaceAll(/"(\.\/\w+)\.ts"/g, '"$1.mjs"');
}
