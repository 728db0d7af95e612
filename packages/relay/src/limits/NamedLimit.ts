/** What an answer says of the requests per second that its target accepts from all daemons together. */
export type NamedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'limit'; readonly perSecond: number }
  /** The limit can't be read. */
  | { readonly kind: 'invalid'; readonly text: string };
