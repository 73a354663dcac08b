/** Steps of `settings_page.feature`. */
import { Then } from "@cucumber/cucumber";
import { expectSchemaPage, type PageSchema } from "@trefoildoor/testing";
import { z } from "zod";
import { settingsSchema } from "./schema.ts";

const pageHead = `# Settings of the daemon

\`trefoildoord run --settings FILE\` reads one YAML file, and
\`trefoildoord check --settings FILE\` lists every fault as
\`file:line:column: message\` and starts nothing. A secret is the text itself, or \`{ env: NAME }\` for the environment
variable that holds it; secrets appear in no log.

The operators' own settings are in [OPERATOR_SETTINGS.md](OPERATOR_SETTINGS.md).

This table is written from the schema by \`UPDATE_SNAPSHOTS=1 npm test\`.`;

Then(
  "docs\\/SETTINGS.md is written from the daemon's schema",
  function (): void {
    expectSchemaPage("docs/SETTINGS.md", {
      head: pageHead,
      schema: z.toJSONSchema(settingsSchema, { io: "input" }) as PageSchema,
    });
  },
);
