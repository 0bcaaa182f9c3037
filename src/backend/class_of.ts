import type { Job } from "./job.ts";

/**
 * Nested calls go first, since the work of their callers is lost when they
 * fail; then roots by importance.
 */
export function classOf({ nested, rank }: Job): number {
  return nested ? 0 : 1 + rank;
}
