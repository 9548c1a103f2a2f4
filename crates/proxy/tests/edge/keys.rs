//! API keys of callers never reach a target.

use chicorycroft_proxy::{
    head::{
        sanitize_request,
        sanitize_trailers, //
    },
    prelude::*,
};
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    request::Parts, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};

const KEY: &str = "k+1/==";
const SEED: u64 = 20_261_204;

/// Applies random letter case and random percent-encoding.
fn obfuscate(text: &str, random: &mut Gen) -> String {
    let mut obfuscated = String::new();
    for c in text.chars() {
        let c = if bool::arbitrary(random) {
            c.to_ascii_uppercase()
        } else {
            c
        };
        if bool::arbitrary(random) {
            obfuscated += &format!("%{:02x}", u32::from(c));
        } else {
            obfuscated.push(c);
        }
    }
    obfuscated
}

fn encode(key: &str) -> String {
    key.bytes().map(|byte| format!("%{byte:02X}")).collect()
}

/// Creates a request with keys in random locations and returns the number of occurrences.
fn request_with(keys: &[&str], random: &mut Gen) -> (Parts, usize) {
    let mut query = vec!["w=2".to_owned()];
    let mut builder = Request::builder().header("cookie", "a=1; b=2");
    let mut count = 0;
    for key in keys {
        for _ in 0..u8::arbitrary(random) % 4 {
            count += 1;
            let field = obfuscate("api_key", random);
            builder = match u8::arbitrary(random) % 4 {
                0 => builder.header("AUTHORIZATION", format!("bEaReR {key}")),
                1 => builder.header("X-aPI-kEY", *key),
                2 => builder.header("Cookie", format!("x=1;{field}={key}; y=2")),
                _ => {
                    query.push(format!("{field}={}", encode(key)));
                    builder
                }
            };
        }
    }
    let request = builder.uri(format!("http://h/rates?{}", query.join("&")));
    (request.body(()).unwrap().into_parts().0, count)
}

/// Returns the URI and the headers as text.
fn head_text(parts: &Parts) -> String {
    let mut text = parts.uri.to_string();
    for (name, value) in &parts.headers {
        text += &format!("\n{name}: {}", String::from_utf8_lossy(value.as_bytes()));
    }
    text
}

/// Checks a property with 2000 seeds from a generator with a fixed seed.
fn check(property: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(2000)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against a location, letter case or encoding in which a key is not removed.
#[test]
fn key_is_found_and_removed_wherever_it_stands() {
    check(|seed| {
        let mut random = Gen::from_size_and_seed(64, seed);
        let (mut parts, count) = request_with(&[KEY], &mut random);
        let found = take_key(&mut parts).unwrap();
        sanitize_request(&mut parts);
        let text = head_text(&parts);
        found.as_ref().map(CallerKey::as_bytes) == (count > 0).then_some(KEY.as_bytes())
            && !text.contains(KEY)
            && !text.contains(&encode(KEY))
            && text.contains("?w=2")
            && text.contains("a=1; b=2")
    });
}

/// Guards against a request with the keys of two teams that is admitted for one of them.
#[test]
fn two_different_keys_are_a_conflict() {
    check(|seed| {
        let mut random = Gen::from_size_and_seed(64, seed);
        let (mut first, first_count) = request_with(&[KEY], &mut random);
        let (second, second_count) = request_with(&["another"], &mut random);
        if first_count == 0 || second_count == 0 {
            return true;
        }
        for (name, value) in &second.headers {
            first.headers.append(name, value.clone());
        }
        let uri = format!("{}&{}", first.uri, second.uri.query().unwrap());
        first.uri = uri.parse().unwrap();
        take_key(&mut first) == Err(KeyError::Conflict)
    });
}

/// Guards against keys that remain in unusual locations and encodings.
#[test]
fn keys_in_unusual_locations_are_removed() {
    let cases = [
        ("/?a=1;api_key=SECRET", "x", "y"),
        ("/?api_key[]=SECRET", "x", "y"),
        ("/?api%255Fkey=SECRET", "x", "y"),
        ("/?&&api_key=SECRET&", "x", "y"),
        ("/", "proxy-authorization", "Basic SECRET"),
        ("/", "authorization", "Basic SECRET"),
        ("/", "authorization", "SECRET"),
        ("/", "cookie", "a=1, api_key=\"SECRET\""),
        ("/", "cookie", " api_key = SECRET"),
        ("/", "referer", "http://h/?API%5FKEY=SECRET"),
    ];
    for (uri, name, value) in cases {
        let request = Request::builder().uri(uri).header(name, value);
        let mut parts = request.body(()).unwrap().into_parts().0;
        take_key(&mut parts).unwrap();
        assert!(
            !head_text(&parts).contains("SECRET"),
            "{uri} {name}: {value}"
        );
    }
}

/// Guards against keys and framing fields that are forwarded in trailers.
#[test]
fn trailers_lose_keys_and_forbidden_fields() {
    let mut trailers = HeaderMap::new();
    for name in [
        "authorization",
        "x-api-key",
        "cookie",
        "proxy-authorization",
        "api_key",
        "content-length",
        "transfer-encoding",
        "host",
        "x-team",
        "forwarded",
        "x-digest",
    ] {
        trailers.append(HeaderName::from_static(name), HeaderValue::from_static("1"));
    }
    sanitize_trailers(&mut trailers);
    assert_eq!(trailers.keys().collect::<Vec<_>>(), ["x-digest"]);
}
