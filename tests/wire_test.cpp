// SPDX-License-Identifier: MIT
// Tests of the simulator protocol: golden messages, fields in any order, and invalid input.
#include "wire.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace cottonbay;
using cottonbay::wire::Fields;
using cottonbay::wire::MalformedInput;
using cottonbay::wire::SimulatorSession;

namespace {

const std::string kConfigure =
    "configure mixerId=3 randomSeed=5 areas=a,b balancers=2 discovery=automatic familyInfo.batch=1 "
    "familyInfo.followUp=0,0 familyInfo.minShare=0.8,1.0 familyInfo.partialEarns=0.9,0.9 familyInfo.places=1 "
    "familyInfo.reach=1 familyInfo.shards=3 familyInfo.wholeAt=1.0,1.0 grades.count=2 "
    "grades.0.deadlineMs=6000.0 "
    "grades.0.effect=idempotent grades.0.name=report grades.0.sloMs=2000.0 grades.0.worth=2.0 "
    "grades.1.deadlineMs=3000.0 grades.1.effect=at_most_once grades.1.name=pay grades.1.sloMs=1500.0 "
    "grades.1.worth=2.0 guarantees.coldFrom=0.16 guarantees.coldMs=16000.0 guarantees.overloadForMs=1000.0 "
    "guarantees.tipMultiple=3.0 limits.cancel=true limits.sendCap=4 resolutionMs=5.0 tenants= novel.key=1";
const std::string kList =
    "register page=0 hosts=2\n"
    "row searcher=51 locality=a heft=1 familyType=k availability=SERVING position=0\n"
    "row position=0 availability=DRAINING searcher=52 launchedMs=6100.5\n"
    "announce mixerId=3 gen=41 page=0 how=SAVED\n";

std::string run_session(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out;
  SimulatorSession().run(in, out);
  return out.str();
}

std::string batch(double at_ms, const std::string& lines) {
  return "begin_batch simTimeMs=" + std::to_string(at_ms) + "\n" + lines + "commit\n";
}

}  // namespace

TEST(Wire, EmptyBatchGetsEmptyReply) { EXPECT_EQ(run_session(batch(1, "")), "eor\n"); }

TEST(Wire, QueryIsRoutedAndAnswered) {
  const std::string out = run_session(
      batch(100, kConfigure + "\n" + kList) +
      batch(105,
            "work_item type=report requestId=900 mixerId=3 dropDeadMs=5105 askNo=1 slice=-1 sizeOrWeight=1 "
            "bitmap=0\n"
            "work_item mixerId=3 requestId=901 type=report dropDeadMs=5105 askNo=1 slice=2 "
            "sizeOrWeight=1.0\n") +
      batch(200,
            "verdict mixerId=3 requestId=901 elapsedMs=94.5 searcher=51 shot=0 verdict=ok complete=1\n"));
  EXPECT_NE(out.find("route mixerId=3 requestId=901 untilMs="), std::string::npos) << out;
  EXPECT_NE(out.find("searcher=51"), std::string::npos);
  EXPECT_EQ(out.find("searcher=52"), std::string::npos);
  EXPECT_NE(out.find("reply_now mixerId=3 requestId=900 whole=1\n"), std::string::npos);
}

TEST(Wire, SettingsAreReadByName) {
  const Settings settings = wire::parse_settings(Fields(kConfigure));
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].name, "report");
  EXPECT_DOUBLE_EQ(settings.classes[0].min_fraction, 0.8);
  EXPECT_EQ(settings.classes[0].effect, Effect::idempotent);
  EXPECT_EQ(settings.classes[1].effect, Effect::at_most_once);
  EXPECT_EQ(settings.coordinators, 2);
  EXPECT_EQ(settings.max_attempts, 4);
  EXPECT_FALSE(settings.retry_budget_limited);
  EXPECT_TRUE(settings.tenants.empty());
}

TEST(Wire, UnknownEffectIsAtMostOnce) {
  const Settings settings = wire::parse_settings(
      Fields("configure mixerId=1 grades.count=1 grades.0.name=x grades.0.effect=novel"));
  EXPECT_EQ(settings.classes[0].effect, Effect::at_most_once);
}

TEST(Wire, ServerFieldsMayComeInAnyOrder) {
  const ServerEntry entry =
      wire::parse_server(Fields("row position=4 launchedMs=6100.0 availability=DELETED searcher=7"));
  EXPECT_EQ(entry.id, 7u);
  EXPECT_EQ(entry.cell, 4);
  EXPECT_EQ(entry.state, ServerState::removed);
  EXPECT_DOUBLE_EQ(entry.started_ms, 6100);
}

TEST(Wire, ReusedPageReplacesEarlierPage) {
  const std::string second =
      "register page=0 hosts=1\nrow searcher=77 position=0\nannounce mixerId=3 gen=42 page=0 how=FULL\n";
  const std::string out = run_session(batch(
      100,
      kConfigure + "\n" + kList + second +
          "work_item mixerId=3 requestId=900 type=report dropDeadMs=5105 askNo=1 slice=-1 sizeOrWeight=1\n"
          "work_item mixerId=3 requestId=901 type=report dropDeadMs=5105 askNo=1 slice=0 sizeOrWeight=1\n"));
  EXPECT_NE(out.find("searcher=77"), std::string::npos) << out;
}

TEST(Wire, HaltAndConfigureInOneBatchDiscardEarlierEvents) {
  const std::string ask =
      "work_item mixerId=3 requestId=900 type=report dropDeadMs=5105 askNo=1 slice=-1 sizeOrWeight=1\n"
      "work_item mixerId=3 requestId=901 type=report dropDeadMs=5105 askNo=1 slice=0 sizeOrWeight=1\n";
  const std::string out = run_session(batch(100, kConfigure + "\n" + kList) +
                                      batch(105, ask + "halt mixerId=3\n" + kConfigure + "\n" + kList));
  EXPECT_EQ(out.find("requestId=90"), std::string::npos) << out;
}

TEST(Wire, InstancesAreIsolated) {
  std::string other = kConfigure;
  other.replace(other.find("mixerId=3"), 9, "mixerId=4");
  const std::string out = run_session(batch(
      100,
      kConfigure + "\n" + kList + other + "\nannounce mixerId=4 gen=1 page=0 how=SAVED\n" +
          "work_item mixerId=4 requestId=900 type=report dropDeadMs=5105 askNo=1 slice=-1 sizeOrWeight=1\n"
          "work_item mixerId=4 requestId=901 type=report dropDeadMs=5105 askNo=1 slice=0 sizeOrWeight=1\n"));
  EXPECT_EQ(out.find("route mixerId=3"), std::string::npos);
  EXPECT_NE(out.find("route mixerId=4"), std::string::npos);
}

TEST(Wire, InvalidInputThrowsOneLineError) {
  const std::string bad[] = {
      "hello\n",
      "commit\n",
      batch(1, "nonsense mixerId=3\n"),
      batch(1, "wake mixerId=3 handle=x\n"),
      batch(1, "configure mixerId=3 randomSeed=5\n"),
      batch(1, "configure mixerId=x\n"),
      batch(1, kConfigure + "\nannounce mixerId=3 page=16 how=FULL\n"),
      batch(1, kConfigure + "\nannounce mixerId=3 page=0 how=NOVEL\n"),
      batch(1, kConfigure + "\nverdict mixerId=3 requestId=1 searcher=1 verdict=odd\n"),
      batch(1, kConfigure + "\nverdict mixerId=3 requestId=1 searcher=1 verdict=ok elapsedMs=abc\n"),
      batch(1, kConfigure + "\nverdict mixerId=3 searcher=1 verdict=ok\n"),
      batch(1, "register page=0 hosts=2\nrow searcher=1\n"),
      "begin_batch simTimeMs=1\nbegin_batch simTimeMs=2\n",
      "begin_batch simTimeMs=1\n",
      "begin_batch simTimeMs\n",
  };
  for (const std::string& text : bad) {
    try {
      run_session(text);
      ADD_FAILURE() << "accepted: " << text;
    } catch (const MalformedInput& exception) {
      EXPECT_EQ(std::string(exception.what()).find('\n'), std::string::npos);
    }
  }
}

TEST(Wire, ModuleFailureIsReportedAsPanic) {
  const std::string out = run_session(batch(
      100,
      kConfigure + "\n" + kList +
          "work_item mixerId=3 requestId=1 type=unheard dropDeadMs=9 askNo=1 slice=-1 sizeOrWeight=1\n"));
  EXPECT_NE(out.find("panic mixerId=3 what="), std::string::npos) << out;
}

TEST(Wire, Base64RoundTrip) {
  for (const std::string text : {"", "a", "ab", "abc", "hi 7"})
    EXPECT_EQ(wire::base64_decode(wire::base64_encode(text)), text);
  EXPECT_EQ(wire::base64_encode("hi 7"), "aGkgNw==");
  EXPECT_THROW(wire::base64_decode("a=b="), MalformedInput);
}
