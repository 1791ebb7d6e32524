//! The key of a router's row in the store.
//!
//! A key has one reading only, whatever characters a customer's name has. It is `CUSTOMER/ROUTER` where that name has no slash, as
//! it always was. Where it has one, former versions take its first part for the customer's name; the key then has no
//! slash at all, which they pass over. Names of routers have no slash (`util::is_name`).

use std::borrow::Cow;

/// Separates customer and router where the customer's name has no slash.
const PLAIN_SEPARATOR: char = '/';
/// Separates them where it has one.
const ESCAPED_SEPARATOR: char = ':';

/// Characters that do not occur in the parts of an escaped key, and what stands for them.
const ESCAPES: [(char, &str); 3] = [
    ('~', "~0"),
    (PLAIN_SEPARATOR, "~1"),
    (ESCAPED_SEPARATOR, "~2"),
];

/// Whose row a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key<'a> {
    /// The customer.
    pub customer: Cow<'a, str>,
    /// The router; or the whole key, if a former version has written the row of a customer with a slash. Such a row
    /// counts beside the present one of its router.
    pub router: Cow<'a, str>,
}

impl<'a> Key<'a> {
    /// The key of a router's row of a customer's budget.
    pub fn new(customer: &'a str, router: &'a str) -> Self {
        Self {
            customer: customer.into(),
            router: router.into(),
        }
    }

    /// The key as it stands in the store.
    pub fn encode(&self) -> String {
        let Self { customer, router } = self;
        if customer.contains(PLAIN_SEPARATOR) {
            format!("{}{ESCAPED_SEPARATOR}{}", escape(customer), escape(router))
        } else {
            format!("{customer}{PLAIN_SEPARATOR}{router}")
        }
    }

    /// Decodes a key; `None` if no version writes such a key.
    pub fn decode(key: &'a str) -> Option<Self> {
        if let Some((customer, router)) = key.rsplit_once(PLAIN_SEPARATOR) {
            let is_former = customer.contains(PLAIN_SEPARATOR);
            return Some(Self::new(customer, if is_former { key } else { router }));
        }
        let (customer, router) = key.split_once(ESCAPED_SEPARATOR)?;
        let decoded = Self {
            customer: unescape(customer)?.into(),
            router: unescape(router)?.into(),
        };
        (decoded.encode() == key).then_some(decoded)
    }
}

fn escape(name: &str) -> String {
    let mut escaped = String::with_capacity(name.len() + 4);
    for character in name.chars() {
        match ESCAPES.iter().find(|(plain, _)| *plain == character) {
            Some((_, escape)) => escaped.push_str(escape),
            None => escaped.push(character),
        }
    }
    escaped
}

/// The name that was escaped; `None` if an escape is unknown.
fn unescape(escaped: &str) -> Option<String> {
    let mut parts = escaped.split('~');
    let mut name = parts.next()?.to_owned();
    for part in parts {
        let (plain, escape) = ESCAPES
            .iter()
            .find(|(_, escape)| part.starts_with(&escape[1..]))?;
        name.push(*plain);
        name.push_str(&part[escape.len() - 1..]);
    }
    Some(name)
}
