/**
 * Checks the house rules that formatter and linter do not know: snake_case
 * file names, verbs of function names, JSDoc on exports, at most two
 * positional parameters, the length of files, and that names of the platform's
 * wire stay in its adapter.
 */
import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";
import process from "node:process";
import ts from "typescript";

/** One broken rule at its place. */
interface Finding {
  readonly place: string;
  readonly message: string;
}

const maxFileLines = 400;
const maxPositionalParameters = 2;
const snakeCase =
  /^[a-z0-9]+(_[a-z0-9]+)*(\.(steps|test|feature|d))?\.(ts|feature)$/;
const sourceRoots = ["packages", "platform", "tools"];
/** The one folder that knows the platform's names, and the list of these. */
const adapterRoot = "platform/";
const wireNamesPath = "platform/wire_names.json";

function main(): void {
  const verbs = readVerbs("docs/VERBS.md");
  const files = sourceRoots.flatMap((root) => listSources(root));
  const wireNames: readonly string[] = JSON.parse(
    readFileSync(wireNamesPath, "utf8"),
  );
  const findings = files.flatMap((path) => [
    ...checkFile(path, verbs),
    ...checkWireNames(path, wireNames),
  ]);
  for (const finding of findings) {
    console.error(`${finding.place}: ${finding.message}`);
  }
  console.log(`${files.length} source files, ${findings.length} findings`);
  process.exitCode = findings.length === 0 ? 0 : 1;
}

function readVerbs(path: string): ReadonlySet<string> {
  const lines = readFileSync(path, "utf8").split("\n");
  return new Set(
    lines.flatMap((line) => /^- `([a-z]+)`$/.exec(line)?.[1] ?? []),
  );
}

function listSources(root: string): readonly string[] {
  const entries = readdirSync(root, { withFileTypes: true });
  return entries.flatMap((entry) => {
    if (["node_modules", "dist", "__snapshots__"].includes(entry.name)) {
      return [];
    }
    const path = join(root, entry.name);
    if (entry.isDirectory()) return listSources(path);
    return /\.(ts|feature)$/.test(entry.name) ? [path] : [];
  });
}

/** Finds names of the platform's wire outside the adapter. */
function checkWireNames(
  path: string,
  names: readonly string[],
): readonly Finding[] {
  if (path.startsWith(adapterRoot)) return [];
  const lines = readFileSync(path, "utf8").split("\n");
  return lines.flatMap((line, index) =>
    names
      .filter((name) => line.toLowerCase().includes(name.toLowerCase()))
      .map((name) => ({
        place: `${path}:${index + 1}`,
        message: `"${name}" belongs to ${adapterRoot} alone`,
      }))
  );
}

function checkFile(
  path: string,
  verbs: ReadonlySet<string>,
): readonly Finding[] {
  const findings: Finding[] = [];
  if (!snakeCase.test(basename(path))) {
    findings.push({ place: path, message: "file name is not snake_case" });
  }
  const text = readFileSync(path, "utf8");
  const lines = text.split("\n").length;
  if (lines > maxFileLines) {
    findings.push({
      place: path,
      message: `${lines} lines, at most ${maxFileLines}`,
    });
  }
  if (!path.endsWith(".ts")) return findings;
  const source = ts.createSourceFile(path, text, ts.ScriptTarget.ES2023, true);
  if (!text.trimStart().replace(/^#!.*\n/, "").startsWith("/**")) {
    findings.push({ place: path, message: "module has no doc comment" });
  }
  visitNode(
    source,
    (node) => findings.push(...checkNode(node, source, { path, verbs })),
  );
  return findings;
}

function visitNode(node: ts.Node, visit: (node: ts.Node) => void): void {
  visit(node);
  ts.forEachChild(node, (child) => visitNode(child, visit));
}

function checkNode(
  node: ts.Node,
  source: ts.SourceFile,
  options: { readonly path: string; readonly verbs: ReadonlySet<string> },
): readonly Finding[] {
  const findings: Finding[] = [];
  const line = source.getLineAndCharacterOfPosition(node.getStart()).line + 1;
  const place = `${options.path}:${line}`;
  if (isExported(node) && ts.getJSDocCommentsAndTags(node).length === 0) {
    findings.push({ place, message: "export has no doc comment" });
  }
  if (!ts.isFunctionDeclaration(node) && !ts.isMethodDeclaration(node)) {
    return findings;
  }
  const name = node.name?.getText() ?? "";
  const verb = /^#?([a-z]+)/.exec(name)?.[1] ?? "";
  if (!options.verbs.has(verb)) {
    findings.push({
      place,
      message: `function "${name}" begins with no verb of docs/VERBS.md`,
    });
  }
  const positional = node.parameters.filter((parameter) =>
    parameter.name.getText() !== "this"
  );
  const last = positional.at(-1);
  const hasOptions = positional.length === maxPositionalParameters + 1 &&
      /options/i.test(last?.name.getText() ?? "") ||
    last?.name.getText().startsWith("{");
  if (positional.length > maxPositionalParameters && !hasOptions) {
    findings.push({
      place,
      message: `function "${name}" has ${positional.length} parameters`,
    });
  }
  return findings;
}

function isExported(node: ts.Node): boolean {
  const declares = ts.isFunctionDeclaration(node) ||
    ts.isClassDeclaration(node) ||
    ts.isInterfaceDeclaration(node) || ts.isEnumDeclaration(node) ||
    ts.isTypeAliasDeclaration(node) || ts.isVariableStatement(node);
  if (!declares) return false;
  return node.modifiers?.some((modifier) =>
    modifier.kind === ts.SyntaxKind.ExportKeyword
  ) ?? false;
}

main();
