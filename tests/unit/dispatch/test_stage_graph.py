"""Progress of a request through a graph of stages."""

from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.dispatch.stage_graph import StageGraph
from galenadrum._internal.models.routing import StageSpec

CHAIN = (StageSpec("a"), StageSpec("b", (0,)), StageSpec("c", (1,)))


def make_all(graph):
    made = []
    while due := list(graph.request_due_pieces()):
        for stage, number in due:
            graph.record_result(stage, number, f"h{stage}.{number}")
            made.append((stage, number))
    return made


class TestOrder:
    def test_stage_is_due_only_after_those_before(self):
        graph = StageGraph(CHAIN, (1, 2, 1))
        assert list(graph.request_due_pieces()) == [(0, 0)]
        assert list(graph.request_due_pieces()) == []
        graph.record_result(0, 0, "h")
        assert list(graph.request_due_pieces()) == [(1, 0), (1, 1)]

    def test_each_piece_gets_all_results_before_it(self):
        graph = StageGraph(CHAIN, (1, 2, 1))
        make_all(graph)
        assert graph.input_handles(2) == ("h1.0", "h1.1")
        assert graph.final_handles() == ("h2.0",)

    def test_stage_left_out_counts_as_made(self):
        graph = StageGraph((StageSpec("a"),), (0,))
        assert graph.is_complete
        assert graph.final_handles() == ()

    def test_missing_counts_leave_stages_out(self):
        assert StageGraph(CHAIN, ()).is_complete


class TestLostResults:
    def test_dropped_inputs_become_due_again(self):
        graph = StageGraph(CHAIN, (1, 1, 1))
        list(graph.request_due_pieces())
        graph.record_result(0, 0, "h")
        list(graph.request_due_pieces())
        graph.reset_request(1, 0)
        assert graph.discard_inputs(1) == ("h",)
        assert list(graph.request_due_pieces()) == [(0, 0)]

    def test_inputs_that_were_released_are_made_again(self):
        graph = StageGraph(CHAIN, (1, 1, 1))
        make_all(graph)
        assert set(graph.release_consumed_results()) == {"h0.0", "h1.0"}
        assert graph.discard_final_results() == ("h2.0",)
        assert make_all(graph) == [(0, 0), (1, 0), (2, 0)]
        assert graph.is_complete


class TestReleases:
    def test_result_is_released_once_all_that_follow_are_made(self):
        graph = StageGraph(CHAIN, (1, 2, 0))
        list(graph.request_due_pieces())
        graph.record_result(0, 0, "h")
        list(graph.request_due_pieces())
        graph.record_result(1, 0, "i")
        assert graph.release_consumed_results() == ()
        graph.record_result(1, 1, "j")
        # The last stage is left out, so that what it would take in goes too.
        assert set(graph.release_consumed_results()) == {"h", "i", "j"}
        assert graph.release_consumed_results() == ()

    @given(st.lists(st.integers(0, 4), min_size=3, max_size=3))
    def test_every_handle_is_released_or_held(self, pieces):
        graph = StageGraph(CHAIN, tuple(pieces))
        made = make_all(graph)
        released = graph.release_consumed_results()
        held = graph.unreleased_handles()
        assert len(released) + len(held) == len(made) == sum(pieces)
        assert not set(released) & set(held)
