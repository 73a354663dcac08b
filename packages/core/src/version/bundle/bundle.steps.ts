/** Steps of `bundle.feature`. */
import assert from "node:assert/strict";
import { generateKeyPairSync } from "node:crypto";
import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { expectSchemaPage, type PageSchema } from "@trefoildoor/testing";
import { z } from "zod";
import {
  type Bundle,
  bundleSchema,
  formatFinding,
  type SignedBundle,
  signedBundleSchema,
} from "../../types/index.ts";
import {
  checkBundle,
  createExampleBundle,
  createSigningKey,
  derivePublicKey,
  diffBundles,
  type ExampleFleet,
  formatBundle,
  formatChange,
  rebaseBundle,
  rollBackBundle,
  signBundle,
  type SigningKey,
  verifyBundle,
} from "./index.ts";

/** State of one scenario. */
interface BundleWorld {
  bundle: Bundle;
  text: string;
  checked: Bundle | undefined;
  keyName: string;
  key: SigningKey;
  signed: SignedBundle;
  changed: Bundle;
  mine: Bundle;
  theirs: Bundle;
  matchSnapshot: (received: unknown) => void;
}

Given(
  "the example bundle of {string}",
  function (this: BundleWorld, fleet: string): void {
    this.bundle = createExampleBundle(fleet as ExampleFleet);
    this.text = formatBundle(this.bundle);
  },
);

Given(
  "the bundle's text with these replacements",
  function (this: BundleWorld, table: DataTable): void {
    for (const { from, to } of table.hashes()) {
      assert.ok(this.text.includes(from ?? ""), `no ${from}`);
      this.text = this.text.replace(from ?? "", to ?? "");
    }
  },
);

Given(
  "a signing key named {string}",
  function (this: BundleWorld, name: string): void {
    this.keyName = name;
    this.key = createSigningKey();
  },
);

Given(
  "a signing key in PEM named {string}",
  function (this: BundleWorld, name: string): void {
    this.keyName = name;
    const { privateKey, publicKey } = generateKeyPairSync("ed25519", {
      privateKeyEncoding: { type: "pkcs8", format: "pem" },
      publicKeyEncoding: { type: "spki", format: "pem" },
    });
    this.key = { privateKey, publicKey };
  },
);

Given("a changed copy of it", function (this: BundleWorld): void {
  this.changed = createNextVersion(this.bundle, (draft) => {
    draft.pools[0]?.engines.pop();
    draft.callers[0]!.key_sha256 = "a".repeat(64);
    draft.callers[1]!.share = 4;
    draft.callers.push({ ...draft.callers[1]!, name: "branch-temuco" });
    draft.pools[0]!.models[0]!.adapters.push("invoices");
  });
});

When("it is written as YAML and checked", function (this: BundleWorld): void {
  this.checked = checkBundle(this.text, "bundle.yaml").toMaybe().extract();
});

When("the key signs the bundle", function (this: BundleWorld): void {
  const { privateKey } = this.key;
  this.signed = signBundle(this.bundle, { keyName: this.keyName, privateKey });
});

When(
  "one operator raises the model's version and another adds an adapter and removes a caller",
  function (this: BundleWorld): void {
    this.mine = createNextVersion(this.bundle, (draft) => {
      draft.pools[0]!.models[0]!.version = "1.1";
    });
    this.theirs = createNextVersion(this.bundle, (draft) => {
      draft.pools[0]!.models[0]!.adapters.push("invoices");
      draft.callers.shift();
    });
  },
);

When(
  "two operators set the model's version differently",
  function (this: BundleWorld): void {
    this.mine = createNextVersion(this.bundle, (draft) => {
      draft.pools[0]!.models[0]!.version = "1.1";
    });
    this.theirs = createNextVersion(this.bundle, (draft) => {
      draft.pools[0]!.models[0]!.version = "2.0";
      draft.callers.shift();
    });
  },
);

Then(
  "the checked bundle equals the example",
  function (this: BundleWorld): void {
    assert.deepEqual(this.checked, this.bundle);
  },
);

Then("the bundle's text matches the snapshot", function (
  this: BundleWorld,
): void {
  this.matchSnapshot(this.text);
});

Then(
  "the bundle's findings match the snapshot",
  function (this: BundleWorld): void {
    const result = checkBundle(this.text, "bundle.yaml");
    const findings = result.swap().orDefault([]);
    this.matchSnapshot(findings.map(formatFinding).join("\n"));
  },
);

Then(
  "the signature holds for that key",
  function (this: BundleWorld): void {
    assert.equal(derivePublicKey(this.key.privateKey), this.key.publicKey);
    assert.ok(verifyBundle(this.signed, listKeys(this)));
  },
);

Then(
  "it fails when the bundle, the key's name, the key or the signature differs",
  function (this: BundleWorld): void {
    const { signed } = this;
    const keys = listKeys(this);
    const other = createSigningKey().publicKey;
    const changed = { ...signed, bundle: { ...this.bundle, note: "changed" } };
    assert.equal(verifyBundle(changed, keys), false);
    assert.equal(verifyBundle({ ...signed, key: "other" }, keys), false);
    assert.equal(
      verifyBundle(signed, new Map([[this.keyName, other]])),
      false,
    );
    assert.equal(
      verifyBundle(signed, new Map([[this.keyName, "broken"]])),
      false,
    );
    assert.equal(verifyBundle({ ...signed, signature: "AAAA" }, keys), false);
  },
);

Then(
  "the signature holds after writing and parsing",
  function (this: BundleWorld): void {
    const text = JSON.stringify(this.signed);
    const parsed = signedBundleSchema.parse(JSON.parse(text));
    assert.ok(verifyBundle(parsed, listKeys(this)));
  },
);

Then("the changes match the snapshot", function (this: BundleWorld): void {
  const changes = diffBundles(this.bundle, this.changed);
  this.matchSnapshot(changes.map(formatChange).join("\n"));
});

Then(
  "the rebased bundle holds both changes",
  function (this: BundleWorld): void {
    const result = rebaseBundle(this.mine, {
      base: this.bundle,
      onto: this.theirs,
    });
    const expected = createNextVersion(this.theirs, (draft) => {
      draft.pools[0]!.models[0]!.version = "1.1";
    });
    assert.deepEqual(result.toMaybe().extract(), expected);
  },
);

Then("the conflicts match the snapshot", function (this: BundleWorld): void {
  const result = rebaseBundle(this.mine, {
    base: this.bundle,
    onto: this.theirs,
  });
  this.matchSnapshot(result.swap().extract());
});

Then(
  "the rollback differs from the example only in version, parent, author and note",
  function (this: BundleWorld): void {
    const back = rollBackBundle(this.bundle, {
      inForce: this.changed,
      author: "second",
    });
    assert.deepEqual(back, {
      ...this.bundle,
      version: 3,
      parent: 2,
      author: "second",
      note: "rollback to the content of version 1",
    });
  },
);

Then(
  "docs\\/BUNDLE.md is written from the bundle's schema",
  function (): void {
    expectSchemaPage("docs/BUNDLE.md", {
      head: pageHead,
      schema: z.toJSONSchema(bundleSchema, { io: "input" }) as PageSchema,
    });
  },
);

const pageHead = `# Bundles

A bundle states what the fleet runs and for whom. \`trefoildoorctl bundle init\`
writes an example, \`bundle check\` lists every fault with its place, and
[the operators' pages](operators/first_day.md) lead through signing and rolling
out. Beyond the schema below, \`check\` requires that:

- names of failure domains, pools, services, callers, and of all engines and
  service processes together are unique, as are addresses and API keys;
- failure domains, models and services that are named exist in the bundle;
- addresses are IP numbers with ports;
- floors are at most the number of engines that start in such a role;
- objectives name a group that some caller is in.

This table is written from the schema by \`UPDATE_SNAPSHOTS=1 npm test\`.`;

function createNextVersion(
  bundle: Bundle,
  change: (draft: Bundle) => void,
): Bundle {
  const draft = structuredClone(bundle);
  draft.parent = bundle.version;
  draft.version = bundle.version + 1;
  change(draft);
  return draft;
}

function listKeys(world: BundleWorld): ReadonlyMap<string, string> {
  return new Map([[world.keyName, world.key.publicKey]]);
}
