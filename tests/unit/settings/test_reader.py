import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.settings.comments import blank_comments
from galenadrum._internal.settings.reader import format_path, parse_document

_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-1000, 1000),
    st.text('ab/*"\\ \n~.[]é', max_size=8),
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text('a/*"\\~.', max_size=4), inner, max_size=3)
    ),
    max_leaves=12,
)
_SEPARATORS = st.sampled_from(
    ["", " ", "\n", '// a " {\n', "/* b\n' */", "/*//*/", "/***/"]
)


def write_with_separators(value, draw_separator, offsets, path=()):
    """Write ``value`` as JSON with comments; record the offset of each value.

    Args:
        value: JSON value to write.
        draw_separator: Returns the comment or white space to put between tokens.
        offsets: Receives the text and the offset of each value by its path.
        path: Path of ``value`` in the document.
    """

    def emit(text):
        offsets["text"] += text

    def emit_value(value, path):
        emit(draw_separator())
        offsets["places"][path] = len(offsets["text"])
        if isinstance(value, dict):
            emit("{")
            for index, (key, member) in enumerate(value.items()):
                emit("," if index else "")
                emit(draw_separator() + json.dumps(key) + draw_separator() + ":")
                emit_value(member, (*path, key))
            emit(draw_separator() + "}")
        elif isinstance(value, list):
            emit("[")
            for index, item in enumerate(value):
                emit("," if index else "")
                emit_value(item, (*path, index))
            emit(draw_separator() + "]")
        else:
            emit(json.dumps(value, ensure_ascii=False))

    emit_value(value, path)
    emit(draw_separator())


class TestDocument:
    @given(_VALUES, st.data())
    def test_every_value_has_its_source_location(self, value, data):
        document_with_offsets = {"text": "", "places": {}}
        write_with_separators(
            value, lambda: data.draw(_SEPARATORS), document_with_offsets
        )
        text = document_with_offsets["text"]
        document = parse_document("f", text)
        assert document.findings == ()
        assert document.value == value
        places = {
            path: (place.value.line, place.value.column)
            for path, place in document.locations_by_path.items()
        }
        assert places == {
            path: (
                text.count("\n", 0, start) + 1,
                start - text.rfind("\n", 0, start),
            )
            for path, start in document_with_offsets["places"].items()
        }

    @given(_VALUES, st.data())
    def test_formatted_path_resolves_to_its_value(self, value, data):
        document = parse_document("f", json.dumps(value))
        path = data.draw(st.sampled_from(sorted(document.locations_by_path, key=repr)))
        formatted_path = format_path(path) if path else ""
        finding = document.build_finding_at_text_path((), formatted_path, "m")
        same_text = [
            p for p in document.locations_by_path if format_path(p) == formatted_path
        ]
        columns = [
            document.locations_by_path[p].value.column for p in same_text or [()]
        ]
        assert finding.column in columns

    @given(st.text('/*"\\\na{', max_size=30))
    def test_blanking_comments_keeps_length_and_line_breaks(self, text):
        try:
            blanked = blank_comments(text)
        except ValueError as error:
            assert text[error.position : error.position + 2] == "/*"
            return
        assert len(blanked) == len(text)
        kept = [i for i, (a, b) in enumerate(zip(text, blanked, strict=True)) if a == b]
        assert all(blanked[i] == " " for i in set(range(len(text))) - set(kept))
        assert [i for i, c in enumerate(text) if c == "\n"] == [
            i for i, c in enumerate(blanked) if c == "\n"
        ]

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ('{"a": 1,\n "a": 2}', "f:2:2: a: the key is already used on line 1"),
            ('{"a": [1,]}', "f:1:10: $: not valid JSON: remove the comma"),
            ("{} /* x", "f:1:4: $: the comment is not closed"),
            ("// nothing", "f:1:1: $: the file holds no JSON value"),
            ('{"a": NaN}', "f:1:7: a: not a finite number"),
            ("[" * 5000, "f:1:101: $: nested more than 100 levels deep"),
        ],
    )
    def test_reports_location_of_syntax_error(self, text, expected):
        (finding,) = parse_document("f", text).findings
        assert str(finding).startswith(expected)
