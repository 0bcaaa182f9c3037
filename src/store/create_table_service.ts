import { Pool } from "undici";
import { z } from "zod";
import { Attributes } from "./attributes.ts";
import type { Credentials } from "./credentials.ts";
import { decodeItem } from "./decode_item.ts";
import { encodeAttributes } from "./encode_attributes.ts";
import type { Item } from "./item.ts";
import type { PlatformRequest } from "./platform_request.ts";
import { readOutcome } from "./read_outcome.ts";
import type { Reply } from "./reply.ts";
import { send } from "./send.ts";
import { signRequest } from "./sign_request.ts";
import type { TableService } from "./table_service.ts";
import { transactBody } from "./transact_body.ts";
import { writeOutcome } from "./write_outcome.ts";

const TIMEOUT_MS = 2_000;
const MAX_CONNECTIONS = 16;
/** A page of the protocol holds at most 1 MiB of rows; JSON adds to that. */
const MAX_BYTES = 4 * 1024 * 1024;

const GetItemOutput = z.object({ Item: Attributes.optional() });
const QueryOutput = z.object({
  Items: z.array(Attributes),
  LastEvaluatedKey: Attributes.optional(),
});

type Call = (operation: string, body: object) => Promise<Reply>;

/**
 * Creates a client of the table service over the DynamoDB JSON protocol.
 * `close` ends its connections.
 */
export function createTableService(
  { endpoint, table = "nutmegmoor", timeoutMs = TIMEOUT_MS, ...credentials }:
    & { endpoint: string; table?: string; timeoutMs?: number }
    & Credentials,
): TableService & { close(): Promise<void> } {
  const pool = new Pool(new URL(endpoint).origin, {
    connections: MAX_CONNECTIONS,
    connect: { timeout: timeoutMs },
  });
  const { host } = new URL(endpoint);
  const call: Call = (operation, body) => {
    const request: PlatformRequest = {
      method: "POST",
      path: "/",
      headers: {
        "content-type": "application/x-amz-json-1.0",
        host,
        "x-amz-target": `DynamoDB_20120810.${operation}`,
      },
      body: Buffer.from(JSON.stringify(body)),
    };
    const date = new Date();
    const headers = signRequest(request, {
      credentials,
      service: "dynamodb",
      date,
    });
    const limits = { timeoutMs, maxBytes: MAX_BYTES };
    return send(pool, { ...request, headers }, limits);
  };
  return {
    get: (key) => get(call, table, key),
    query: (range) => query(call, table, range),
    transact: async (writes) =>
      writeOutcome(
        await call("TransactWriteItems", transactBody(table, writes)),
      ),
    close: () => pool.destroy(),
  };
}

async function get(
  call: Call,
  table: string,
  key: { partition: string; sort: string },
): ReturnType<TableService["get"]> {
  const reply = await call("GetItem", {
    TableName: table,
    Key: encodeAttributes(key),
    ConsistentRead: true,
  });
  const outcome = readOutcome(reply, GetItemOutput);
  if (outcome.kind === "unavailable") return outcome;
  if (outcome.value.Item === undefined) return { kind: "absent" };
  const item = decodeItem(outcome.value.Item);
  if (item !== null) return { kind: "found", item };
  return { kind: "unavailable", message: "The row has no keys" };
}

async function query(
  call: Call,
  table: string,
  { partition, from, to, limit }: Parameters<TableService["query"]>[0],
): ReturnType<TableService["query"]> {
  const items: Item[] = [];
  let startKey: Attributes | undefined;
  // The protocol rejects a range whose lower end is above the upper one.
  if (from >= to) return { kind: "found", items };
  do {
    const reply = await call("Query", {
      TableName: table,
      ConsistentRead: true,
      KeyConditionExpression: "#p = :p AND #s BETWEEN :from AND :to",
      ExpressionAttributeNames: { "#p": "partition", "#s": "sort" },
      ExpressionAttributeValues: encodeAttributes({
        ":p": partition,
        ":from": from,
        ":to": to,
      }),
      Limit: limit - items.length,
      ExclusiveStartKey: startKey,
    });
    const outcome = readOutcome(reply, QueryOutput);
    if (outcome.kind === "unavailable") return outcome;
    const rows = outcome.value.Items.map(decodeItem);
    if (rows.includes(null)) {
      return { kind: "unavailable", message: "A row has no keys" };
    }
    // BETWEEN includes its upper end, which the interface excludes.
    items.push(...(rows as Item[]).filter(({ sort }) => sort !== to));
    startKey = outcome.value.LastEvaluatedKey;
  } while (startKey !== undefined && items.length < limit);
  return { kind: "found", items };
}
