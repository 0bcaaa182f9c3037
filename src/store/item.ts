/** One row of the table service: a partition key, a sort key and attributes. */
export type Item = {
  partition: string;
  sort: string;
  attributes: Record<string, string | number>;
};
