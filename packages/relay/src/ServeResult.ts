import type { Refusal } from './Refusal';

/** How a request ended; a refusal is still to be written. */
export type ServeResult =
  | { readonly kind: 'answered'; readonly statusCode: number }
  | { readonly kind: 'caller-gone' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };
