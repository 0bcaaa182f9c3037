import test from "ava";
import { signRequest } from "./sign_request.ts";

// Published vector "get-vanilla" of the Signature Version 4 test suite.
test("signature equals the published vector", (t) => {
  const headers = signRequest(
    {
      method: "GET",
      path: "/",
      headers: { host: "example.amazonaws.com" },
      body: Buffer.alloc(0),
    },
    {
      credentials: {
        accessKey: "AKIDEXAMPLE",
        secretKey: "wJalrXUtnFEMI/K7MDENG+bPxRfiCYEXAMPLEKEY",
        region: "us-east-1",
      },
      service: "service",
      date: new Date("2015-08-30T12:36:00Z"),
    },
  );
  t.is(
    headers.authorization,
    "AWS4-HMAC-SHA256 " +
      "Credential=AKIDEXAMPLE/20150830/us-east-1/service/aws4_request, " +
      "SignedHeaders=host;x-amz-date, Signature=" +
      "5fa00fa31553b73ebf1942676e86291e8372ff2a2260956d9b8aae1d763fbf31",
  );
});
