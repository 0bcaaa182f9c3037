import type { Issue } from "../core/issue.ts";
import { duplicates } from "./duplicates.ts";
import { shadowsRequest } from "./shadows_request.ts";
import type { TermsOutline } from "./terms_outline.ts";

type Services = Extract<TermsOutline, { kind: "department" }>["services"];

/**
 * Reports duplicate services and requests, and requests that an earlier one
 * shadows.
 */
export function serviceIssues(services: Services): Issue[] {
  const repeated = duplicates(services.map((service) => service.name));
  return [
    ...repeated.map((name): Issue => ({
      code: "duplicate-service",
      path: ["services", name],
      message: `Service ${name} is declared more than once`,
    })),
    ...services.flatMap(requestIssues),
  ];
}

function requestIssues(service: Services[number]): Issue[] {
  const path = ["services", service.name, "requests"];
  const repeated = duplicates(service.requests.map((request) => request.name));
  const issues = repeated.map((name): Issue => ({
    code: "duplicate-request",
    path: [...path, name],
    message: `Request ${name} of ${service.name} is declared more than once`,
  }));
  service.requests.forEach((request, index) => {
    const earlier = service.requests.slice(0, index)
      .find((other) => shadowsRequest(other, request));
    if (!earlier) return;
    issues.push({
      code: "unreachable-request",
      path: [...path, request.name, "path"],
      message:
        `Request ${request.name} never matches, because ${earlier.name} before it matches all of its paths`,
    });
  });
  return issues;
}
