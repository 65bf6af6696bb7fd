#include "burdockstream/base/StateChart.h"

#include "burdockstream/base/JsonFields.h"

#include <algorithm>
#include <glog/logging.h>

namespace burdockstream::base {

namespace {

// 255 marks a missing transition in the table.
constexpr size_t MaxNames = 254;

std::optional<size_t> indexOf(const std::vector<std::string> &Names,
                              std::string_view Name) {
  const auto Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<size_t>(Found - Names.begin());
}

Error unknownName(const std::string &Source, size_t Line, std::string_view Kind,
                  std::string_view Name,
                  const std::vector<std::string> &Names) {
  std::string Text =
      Source + ":" + std::to_string(Line) + ": the chart has no ";
  Text += std::string(Kind) + " '" + std::string(Name) + "'; use one of:";
  for (const std::string &Known : Names)
    Text += " " + Known;
  return makeError(ErrorKind::NotFound, Text);
}

} // namespace

// Builds a chart from a document and collects the problems on the way.
class ChartLoader {
public:
  explicit ChartLoader(const JsonDocument &InitDoc)
      : Doc(InitDoc), Problems(InitDoc) {
    Chart.Source = Doc.source();
  }

  Result<StateChart> load() {
    JsonFields Fields(Doc, Problems);
    Fields.required("name").readName(Chart.Name);
    readStates(Fields.required("states"));
    readEvents(Fields.required("events"));
    Chart.Table.assign(Chart.States.size() * Chart.Events.size(),
                       StateChart::NoState);
    readTransitions(Fields.required("transitions"));
    Fields.finish();
    if (Problems.empty())
      checkReachability();
    if (!Problems.empty())
      return Problems.error();
    return std::move(Chart);
  }

private:
  void readStates(const JsonNode &List) {
    if (List.present())
      Chart.StatesLine = Doc.lineOf(Doc.root()["states"]);
    size_t InitialCount = 0;
    for (const JsonNode &Node : List.elements(MaxNames)) {
      JsonFields Fields(Node);
      std::string Name;
      bool IsInitial = false;
      bool IsFinal = false;
      if (Fields.required("name").readName(Name) && indexOf(Chart.States, Name))
        Node.fail("the state '" + Name + "' is listed twice; remove one");
      Fields.optional("initial").readBool(IsInitial);
      Fields.optional("final").readBool(IsFinal);
      Fields.finish();
      if (IsInitial && ++InitialCount == 1)
        Chart.Initial =
            StateChart::StateId{static_cast<uint8_t>(Chart.States.size())};
      Chart.States.push_back(Name);
      Chart.Final.push_back(IsFinal);
      StateNodes.push_back(Node);
    }
    if (List.present() && InitialCount != 1)
      List.fail(std::to_string(InitialCount) +
                " states are initial; mark exactly one");
  }

  void readEvents(const JsonNode &List) {
    if (List.present())
      Chart.EventsLine = Doc.lineOf(Doc.root()["events"]);
    for (const JsonNode &Node : List.elements(MaxNames)) {
      std::string Name;
      if (Node.readName(Name) && indexOf(Chart.Events, Name))
        Node.fail("the event '" + Name + "' is listed twice; remove one");
      Chart.Events.push_back(Name);
    }
  }

  std::optional<size_t> resolve(const JsonNode &Node, std::string_view Kind,
                                const std::vector<std::string> &Names) {
    std::string Name;
    if (!Node.readName(Name))
      return std::nullopt;
    const auto Index = indexOf(Names, Name);
    if (!Index)
      Node.fail("the " + std::string(Kind) + " '" + Name +
                "' is unknown; list it under " + std::string(Kind) +
                "s or correct the name");
    return Index;
  }

  void readTransitions(const JsonNode &List) {
    for (const JsonNode &Node : List.elements(MaxNames * MaxNames)) {
      JsonFields Fields(Node);
      const auto From = resolve(Fields.required("from"), "state", Chart.States);
      const auto Event =
          resolve(Fields.required("event"), "event", Chart.Events);
      const auto To = resolve(Fields.required("to"), "state", Chart.States);
      Fields.finish();
      if (!From || !Event || !To)
        continue;
      if (Chart.Final[*From])
        Node.fail("the state '" + Chart.States[*From] +
                  "' is final; remove the transition or the mark");
      uint8_t &Cell = Chart.Table[*From * Chart.Events.size() + *Event];
      if (Cell != StateChart::NoState)
        Node.fail("the state '" + Chart.States[*From] +
                  "' has two transitions for '" + Chart.Events[*Event] +
                  "'; remove one");
      Cell = static_cast<uint8_t>(*To);
    }
  }

  void checkReachability() {
    std::vector<bool> Reached(Chart.States.size());
    std::vector<size_t> Pending{static_cast<size_t>(Chart.Initial)};
    while (!Pending.empty()) {
      const size_t State = Pending.back();
      Pending.pop_back();
      if (Reached[State])
        continue;
      Reached[State] = true;
      const size_t Before = Pending.size();
      for (size_t E = 0; E < Chart.Events.size(); ++E) {
        const uint8_t To = Chart.Table[State * Chart.Events.size() + E];
        if (To != StateChart::NoState)
          Pending.push_back(To);
      }
      if (Pending.size() == Before && !Chart.Final[State])
        StateNodes[State].fail("the state '" + Chart.States[State] +
                               "' has no transition; mark it final or add one");
    }
    for (size_t S = 0; S < Reached.size(); ++S)
      if (!Reached[S])
        StateNodes[S].fail("the state '" + Chart.States[S] +
                           "' is unreachable; add a transition or remove it");
  }

  const JsonDocument &Doc;
  JsonProblems Problems;
  StateChart Chart;
  std::vector<JsonNode> StateNodes;
};

Result<StateChart> StateChart::load(std::string_view Text, std::string Source) {
  const auto Doc = JsonDocument::parse(Text, std::move(Source));
  if (Doc.has_error())
    return Doc.error();
  return ChartLoader(Doc.value()).load();
}

StateChart StateChart::embedded(std::string_view Text, std::string Source) {
  auto Chart = load(Text, std::move(Source));
  CHECK(Chart.has_value()) << Chart.error().Message;
  return std::move(Chart.value());
}

Result<StateChart::StateId>
StateChart::findState(std::string_view Wanted) const {
  const auto Index = indexOf(States, Wanted);
  if (!Index)
    return unknownName(Source, StatesLine, "state", Wanted, States);
  return StateId{static_cast<uint8_t>(*Index)};
}

Result<StateChart::EventId>
StateChart::findEvent(std::string_view Wanted) const {
  const auto Index = indexOf(Events, Wanted);
  if (!Index)
    return unknownName(Source, EventsLine, "event", Wanted, Events);
  return EventId{static_cast<uint8_t>(*Index)};
}

StateChart::StateId StateChart::state(std::string_view Wanted) const {
  const auto Found = findState(Wanted);
  CHECK(Found.has_value()) << Found.error().Message;
  return Found.value();
}

StateChart::EventId StateChart::event(std::string_view Wanted) const {
  const auto Found = findEvent(Wanted);
  CHECK(Found.has_value()) << Found.error().Message;
  return Found.value();
}

} // namespace burdockstream::base
