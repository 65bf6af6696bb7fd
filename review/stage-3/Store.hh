// A stand-in of the platform's metadata store, after its page: items, ranges,
// watches, transactions and leases. It is linearizable and loses nothing.
#ifndef STAGE_STORE_HH
#define STAGE_STORE_HH

#include "Http.hh"

#include <optional>

namespace stage {

class Store {
public:
  Store(Loop &InitLoop, Address Own)
      : Events(InitLoop),
        Server(InitLoop, Own,
               [this](const Request &In, const Out &To) { serve(In, To); }) {
    Events.every(50, [this] { tick(); });
  }

  // Writes as the operator does.
  void put(const std::string &Key, const std::string &Value) {
    write(Key, Value, 0);
    serveWatches();
  }
  void remove(const std::string &Key) {
    erase(Key);
    serveWatches();
  }
  size_t count(const std::string &Prefix) const {
    size_t Result = 0;
    for (const auto &Each : Items)
      Result += Each.first.starts_with(Prefix) ? 1 : 0;
    return Result;
  }
  int64_t revision() const { return Revision; }

private:
  struct Item {
    std::string Value;
    int64_t Revision = 0, Created = 0, Lease = 0;
  };
  struct Event {
    std::string Key;
    int64_t Revision;
    std::string Text;
  };
  struct Lease {
    int64_t Ttl = 0, EndsAt = 0;
  };
  struct Watcher {
    std::string Prefix;
    int64_t After, EndsAt;
    Out To;
  };

  static std::string itemText(const std::string &Key, const Item &Each) {
    return "{\"key\":" + quoted(Key) + ",\"value\":\"" + toBase64(Each.Value) +
           "\",\"revision\":" + std::to_string(Each.Revision) +
           ",\"created_revision\":" + std::to_string(Each.Created) +
           ",\"lease_id\":" + std::to_string(Each.Lease) + "}";
  }
  std::string at() const { return "\"at\":" + std::to_string(Revision) + "}"; }

  void write(const std::string &Key, const std::string &Value, int64_t Owner) {
    Item &Each = Items[Key];
    Each.Revision = ++Revision;
    if (Each.Created == 0)
      Each.Created = Revision;
    Each.Value = Value;
    Each.Lease = Owner;
    History.push_back({Key, Revision, itemText(Key, Each)});
  }
  void erase(const std::string &Key) {
    if (Items.erase(Key) == 0)
      return;
    ++Revision;
    History.push_back({Key, Revision,
                       "{\"key\":" + quoted(Key) + ",\"revision\":" +
                           std::to_string(Revision) + ",\"deleted\":true}"});
  }
  void endLease(int64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Ended;
    for (const auto &[Key, Each] : Items)
      if (Each.Lease == Id)
        Ended.push_back(Key);
    for (const std::string &Key : Ended)
      erase(Key);
  }

  void serve(const Request &In, const Out &To) {
    const auto Query = [&In](const char *Name) {
      const auto Found = In.Query.find(Name);
      return Found == In.Query.end() ? std::string() : Found->second;
    };
    const auto IdAfter = [&In](size_t Length) {
      return std::strtoll(In.Path.c_str() + Length, nullptr, 10);
    };
    if (In.Path == "/api/kv-key") {
      const auto Found = Items.find(Query("key"));
      if (Found == Items.end())
        return To->answer(404, "{}");
      std::string Text = itemText(Found->first, Found->second);
      Text.back() = ',';
      return To->answer(200, Text + at());
    }
    if (In.Path == "/api/kv-range") {
      std::string Text;
      for (const auto &[Key, Each] : Items)
        if (Key.starts_with(Query("prefix")) && Key > Query("after"))
          Text += (Text.empty() ? "" : ",") + itemText(Key, Each);
      return To->answer(200,
                        "{\"items\":[" + Text + "],\"has_more\":false," + at());
    }
    if (In.Path == "/api/kv-watch") {
      const Watcher New{Query("prefix"), std::atoll(Query("after").c_str()),
                        nowMs() + std::atoll(Query("wait_timeout_ms").c_str()),
                        To};
      if (!answer(New, false))
        Watchers.push_back(New);
      return;
    }
    if (In.Path == "/api/kv-txn")
      return transact(JsonReader::read(In.Body), To);
    if (In.Path == "/api/kv-lease") {
      const int64_t Ttl = JsonReader::read(In.Body)["ttl_ms"].Number;
      Leases[++LastLease] = {Ttl, nowMs() + Ttl};
      return To->answer(200, "{\"lease_id\":" + std::to_string(LastLease) +
                                 ",\"ttl_ms\":" + std::to_string(Ttl) + "}");
    }
    if (In.Path.starts_with("/api/kv-keep/")) {
      const auto Found = Leases.find(IdAfter(13));
      if (Found == Leases.end())
        return To->answer(404, "{}");
      Found->second.EndsAt = nowMs() + Found->second.Ttl;
      return To->answer(
          200, "{\"ttl_ms\":" + std::to_string(Found->second.Ttl) + "}");
    }
    if (In.Path.starts_with("/api/kv-lease-end/")) {
      endLease(IdAfter(18));
      To->answer(200, "{}");
      return serveWatches();
    }
    To->answer(404, "{}");
  }

  void transact(const Json &Body, const Out &To) {
    for (const Json &Row : Body["expected_revision"].Items) {
      const auto Found = Items.find(Row["key"].Text);
      const int64_t Now = Found == Items.end() ? 0 : Found->second.Revision;
      if (Now == Row["revision"].Number)
        continue;
      std::string Text;
      for (const Json &Each : Body["expected_revision"].Items)
        if (const auto Item = Items.find(Each["key"].Text); Item != Items.end())
          Text +=
              (Text.empty() ? "" : ",") + itemText(Item->first, Item->second);
      return To->answer(412, "{\"items\":[" + Text + "]}");
    }
    for (const Json &Each : Body["write"].Items)
      if (const int64_t Owner = Each["lease_id"].Number;
          Owner != 0 && Leases.count(Owner) == 0)
        return To->answer(404, "{}");
    for (const Json &Each : Body["write"].Items)
      write(Each["key"].Text, fromBase64(Each["value"].Text),
            Each["lease_id"].Number);
    for (const Json &Each : Body["remove"].Items)
      erase(Each.Text);
    To->answer(200, "{\"revision\":" + std::to_string(Revision) + "}");
    serveWatches();
  }

  // Answers a watch that has events, or whose time has passed.
  bool answer(const Watcher &Each, bool AtEnd) {
    std::string Text;
    for (const Event &One : History)
      if (One.Revision > Each.After && One.Key.starts_with(Each.Prefix))
        Text += (Text.empty() ? "" : ",") + One.Text;
    if (Text.empty() && !AtEnd)
      return false;
    Each.To->answer(200, "{\"events\":[" + Text + "]," + at());
    return true;
  }
  void serveWatches() {
    std::erase_if(Watchers, [this](const Watcher &Each) {
      return !Each.To->isOpen() || answer(Each, nowMs() >= Each.EndsAt);
    });
  }
  void tick() {
    std::vector<int64_t> Ended;
    for (const auto &[Id, Each] : Leases)
      if (Each.EndsAt <= nowMs())
        Ended.push_back(Id);
    for (const int64_t Id : Ended)
      endLease(Id);
    serveWatches();
  }

  Loop &Events;
  int64_t Revision = 10;
  int64_t LastLease = 100;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::map<int64_t, Lease> Leases;
  std::vector<Watcher> Watchers;
  HttpServer Server;
};

} // namespace stage

#endif
