import { z } from "zod";

/** Response of `GET /-/members`; fields of later versions are ignored. */
export const MemberList = z.object({
  members: z.array(z.object({
    address: z.string(),
    dataCentre: z.string(),
    state: z.string(),
    incarnation: z.number(),
    sequence: z.number(),
    /** Whether the queried daemon can reach the member; absent if unknown. */
    reachable: z.boolean().optional(),
    server: z.object({ service: z.string(), slots: z.number() }).nullable(),
  })),
});
export type MemberList = z.infer<typeof MemberList>;
