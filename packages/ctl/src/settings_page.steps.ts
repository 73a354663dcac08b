/** Steps of `settings_page.feature`. */
import { Then } from "@cucumber/cucumber";
import { expectSchemaPage, type PageSchema } from "@trefoildoor/testing";
import { z } from "zod";
import { operatorSettingsSchema } from "./settings.ts";

const pageHead = `# Settings of the command line

\`trefoildoorctl\` reads \`trefoildoorctl.yaml\` in the current directory, or the
file that \`--settings\` names. It holds no secret: the private signing key is in a
file that \`--key-file\` names, or in the variable \`TREFOILDOOR_SIGNING_KEY\`.

This table is written from the schema by \`UPDATE_SNAPSHOTS=1 npm test\`.`;

Then(
  "docs\\/OPERATOR_SETTINGS.md is written from the command line's schema",
  function (): void {
    expectSchemaPage("docs/OPERATOR_SETTINGS.md", {
      head: pageHead,
      schema: z.toJSONSchema(operatorSettingsSchema, {
        io: "input",
      }) as PageSchema,
    });
  },
);
