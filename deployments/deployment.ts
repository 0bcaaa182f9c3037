import { z } from "zod";
import { RequestRule } from "../src/rules/request_rule.ts";
import { Operation } from "../standin/server/operation.ts";

const ServiceOperation = Operation.extend({
  name: RequestRule.shape.name,
  importance: RequestRule.shape.importance,
  idempotent: z.boolean(),
  retries: RequestRule.shape.retries,
  deadlineMs: RequestRule.shape.deadlineMs,
});

/** An installation: its data centres, services, call graph and traffic. */
export const Deployment = z.strictObject({
  name: z.string(),
  /** Department that owns the services. */
  department: z.string(),
  dataCentres: z.array(z.string()),
  services: z.array(z.strictObject({
    name: z.string(),
    /** Slots of each server. */
    slots: z.number().int(),
    connections: z.number().int(),
    operations: z.array(ServiceOperation),
  })),
  /** Requests of outside callers, by share. */
  traffic: z.array(z.strictObject({
    name: z.string(),
    share: z.number(),
    importance: RequestRule.shape.importance,
    method: z.string(),
    path: z.string(),
  })),
});
export type Deployment = z.infer<typeof Deployment>;
