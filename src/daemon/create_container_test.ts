import "reflect-metadata";
import test from "ava";
import { readFileSync } from "node:fs";
import { parseSettings } from "../settings/parse_settings.ts";
import { createContainer } from "./create_container.ts";
import { ContainerToken } from "./container_token.ts";

const sample = readFileSync("settings/viti-levu.ini", "utf8");

test("cached-responses-mib limits the cached responses of the ledger", (t) => {
  const text = sample.replace(/cached-responses-mib = \d+/, "$&0");
  const settings = parseSettings(text);
  if (!settings.ok) return t.fail();
  const ledger = createContainer(settings.value).resolve(ContainerToken.ledger);
  t.is(ledger.maxCachedBytes, 160 * 1024 * 1024);
});
