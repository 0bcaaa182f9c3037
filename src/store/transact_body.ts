import { encodeAttributes } from "./encode_attributes.ts";
import type { Write } from "./write.ts";

const CONDITION: {
  [Kind in Write["condition"]["kind"]]: (
    condition: Extract<Write["condition"], { kind: Kind }>,
  ) => object;
} = {
  "none": () => ({}),
  "absent": () => ({
    ConditionExpression: "attribute_not_exists(#name)",
    ExpressionAttributeNames: { "#name": "partition" },
  }),
  "equals": ({ attribute, value }) => ({
    ConditionExpression: "#name = :value",
    ExpressionAttributeNames: { "#name": attribute },
    ExpressionAttributeValues: encodeAttributes({ ":value": value }),
  }),
};

/** Returns the body of a `TransactWriteItems` request. */
export function transactBody(table: string, writes: Write[]): object {
  return {
    TransactItems: writes.map(({ item, condition }) => ({
      Put: {
        TableName: table,
        Item: encodeAttributes({
          ...item.attributes,
          partition: item.partition,
          sort: item.sort,
        }),
        ...(CONDITION[condition.kind] as (condition: unknown) => object)(
          condition,
        ),
      },
    })),
  };
}
