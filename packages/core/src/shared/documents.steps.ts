/** Steps of `documents.feature`. */
import { Given, Then } from "@cucumber/cucumber";
import { z } from "zod";
import { formatFinding } from "../types/index.ts";
import { maxDocumentLength, parseDocument } from "./documents.ts";

/** State of one scenario. */
interface DocumentWorld {
  text: string;
  matchSnapshot: (received: unknown) => void;
}

enum Mode {
  Fast = "fast",
  Slow = "slow",
}

const schema = z.strictObject({
  name: z.string(),
  port: z.int().min(1),
  mode: z.enum(Mode).default(Mode.Fast),
  limits: z.strictObject({ size: z.int(), depth: z.int() }),
  hosts: z.array(z.strictObject({ address: z.string() })).default([]),
});

const hostileDocuments: Readonly<Record<string, string>> = {
  "alias bomb": [
    "a: &a [x, x, x, x, x, x, x, x, x]",
    ..."bcdefgh".split("").map((letter, index) => {
      const alias = "*" + "abcdefgh"[index];
      return `${letter}: &${letter} [${Array(9).fill(alias).join(", ")}]`;
    }),
  ].join("\n"),
  "deep nesting": "[".repeat(100_000),
  "two documents": "a: 1\n---\nb: 2\n",
  "empty": "",
  "too long": "a".repeat(maxDocumentLength + 1),
};

Given("a YAML document", function (this: DocumentWorld, text: string): void {
  this.text = text;
});

Given(
  "a hostile document {string}",
  function (this: DocumentWorld, kind: string): void {
    this.text = hostileDocuments[kind] ?? "";
  },
);

Then(
  "the findings of the document match the snapshot",
  function (this: DocumentWorld): void {
    const result = parseDocument(this.text, schema, {
      source: "depot.yaml",
      check: ({ hosts }) =>
        hosts.length > 0 ? [] : [{ path: ["hosts"], message: "needs a host" }],
    });
    const findings = result.swap().orDefault([]);
    this.matchSnapshot(findings.map(formatFinding).join("\n"));
  },
);
