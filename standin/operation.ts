import { z } from "zod";
import { Row } from "./row.ts";

const Names = z.record(z.string(), z.string());
const Values = z.record(
  z.string(),
  z.union([
    z.strictObject({ S: z.string() }),
    z.strictObject({ N: z.string() }),
  ]),
);

const GetItem = z.strictObject({
  TableName: z.string(),
  Key: Row,
  ConsistentRead: z.literal(true),
});

const Query = z.strictObject({
  TableName: z.string(),
  ConsistentRead: z.literal(true),
  KeyConditionExpression: z.literal("#p = :p AND #s BETWEEN :from AND :to"),
  ExpressionAttributeNames: z.strictObject({
    "#p": z.literal("partition"),
    "#s": z.literal("sort"),
  }),
  ExpressionAttributeValues: z.strictObject({
    ":p": z.strictObject({ S: z.string() }),
    ":from": z.strictObject({ S: z.string() }),
    ":to": z.strictObject({ S: z.string() }),
  }),
  Limit: z.number().int().min(1),
  ExclusiveStartKey: Row.optional(),
});

const Put = z.strictObject({
  TableName: z.string(),
  Item: Row,
  ConditionExpression: z.string().optional(),
  ExpressionAttributeNames: Names.optional(),
  ExpressionAttributeValues: Values.optional(),
});

const TransactWriteItems = z.strictObject({
  TransactItems: z.array(z.strictObject({ Put })).min(1).max(100),
});

/** Request bodies of the operations that the stand-in implements. */
export const Operation = { GetItem, Query, TransactWriteItems };
export type Operation = {
  GetItem: z.infer<typeof GetItem>;
  Query: z.infer<typeof Query>;
  TransactWriteItems: z.infer<typeof TransactWriteItems>;
};
