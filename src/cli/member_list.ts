import { z } from "zod";

/** Answer of `GET /-/members`; fields of later versions are ignored. */
export const MemberList = z.object({
  members: z.array(z.object({
    address: z.string(),
    dataCentre: z.string(),
    state: z.string(),
    incarnation: z.number(),
    sequence: z.number(),
    /** Whether the asked daemon can reach it; left out where not known. */
    reachable: z.boolean().optional(),
    server: z.object({ service: z.string(), slots: z.number() }).nullable(),
  })),
});
export type MemberList = z.infer<typeof MemberList>;
