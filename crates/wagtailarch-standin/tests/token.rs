//! Tests of the token function and of the check of outputs.

use rstest::rstest;
use wagtailarch_standin::token::{
    OutputError, check_output, output_length, output_text, prompt_key, token_text,
};

/// Guards against a check that accepts outputs with missing, repeated or foreign text.
#[rstest]
#[case::whole(&[0, 1, 2, 3], None)]
#[case::short(&[0, 1, 2], Some(OutputError::MissingToken { index: 3 }))]
#[case::gap(&[0, 2, 3], Some(OutputError::MissingToken { index: 1 }))]
#[case::repeated(&[0, 1, 1, 2, 3], Some(OutputError::RepeatedToken { index: 2 }))]
#[case::too_long(&[0, 1, 2, 3, 4], Some(OutputError::ForeignText { index: 4 }))]
fn the_check_finds_the_error(#[case] indices: &[u32], #[case] error: Option<OutputError>) {
    let key = prompt_key("hello");
    let text: String = indices
        .iter()
        .map(|index| token_text(key, *index))
        .collect();
    assert_eq!(check_output(key, 4, &text).err(), error);
}

/// Guards against a check that accepts a part of another output.
#[test]
fn a_token_of_another_output_is_foreign_text() {
    let (own, other) = (prompt_key("own"), prompt_key("other"));
    let text = output_text(own, 2) + &token_text(other, 2);
    assert_eq!(
        check_output(own, 3, &text),
        Err(OutputError::ForeignText { index: 2 })
    );
}

/// Guards against keys that depend on the chat template around a marked prompt.
#[test]
fn the_key_of_a_marked_prompt_ignores_the_text_around_it() {
    assert_eq!(
        prompt_key("user: <<a b>>\nassistant:"),
        prompt_key("<<a b>>")
    );
    assert_ne!(prompt_key("<<a b>>"), prompt_key("<<a c>>"));
}

/// Guards against outputs with more than `max_tokens` tokens.
#[rstest]
#[case("no mark", 5, (5, false))]
#[case("STOP-AT-3 please", 5, (3, true))]
#[case("STOP-AT-9", 5, (5, false))]
fn the_output_length_is_at_most_max_tokens(
    #[case] prompt: &str,
    #[case] max_tokens: u32,
    #[case] expected: (u32, bool),
) {
    assert_eq!(output_length(prompt, max_tokens), expected);
}
