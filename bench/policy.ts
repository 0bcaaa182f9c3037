import { compareLimits } from "./model/compare_limits.ts";
import { compareRouting } from "./model/compare_routing.ts";
import { compareShedding } from "./model/compare_shedding.ts";
import { measureRecovery } from "./model/measure_recovery.ts";

// Compares the policies in discrete time; node --import=tsx bench/policy.ts
compareShedding();
measureRecovery();
compareLimits();
compareRouting();
