/**
 * Library for operators: declares a configuration, signs it and prints it for
 * `nutmegmoor rules submit`.
 *
 * @module
 */
export { agreement } from "./rules/agreement.ts";
export { parseTerms } from "./rules/parse_terms.ts";
export { configuration } from "./rules/configuration.ts";
export { generateKeys } from "./rules/generate_keys.ts";
export { parsePrivateKey } from "./rules/parse_private_key.ts";
export { parsePublicKey } from "./rules/parse_public_key.ts";
export { signSection } from "./rules/sign_section.ts";
export type { AgreementBuilder } from "./rules/agreement_builder.ts";
export type { ConfigurationBuilder } from "./rules/configuration_builder.ts";
export type { RequestOptions } from "./rules/request_options.ts";
export type { ServiceBuilder } from "./rules/service_builder.ts";
