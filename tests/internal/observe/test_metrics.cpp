#include <burdockhead/observe/metricdescription.h>
#include <burdockhead/observe/metrics.h>
#include <burdockhead/observe/processusage.h>

#include <array>
#include <cmath>
#include <property.h>
#include <thread>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(MetricsRegistry)

BOOST_AUTO_TEST_CASE(metrics_are_exported_in_the_prometheus_format)
{
    Metrics metrics;
    metrics.counter("burdockhead_requests_total", {{"kind", "a\"b"}, {"outcome", "completed"}})
        .add();
    metrics.gauge("some_gauge").set(2.5);
    metrics.distribution("some_seconds").observe(0.25);
    BOOST_TEST(metrics.toPrometheus()
               == "# HELP burdockhead_requests_total Requests that ended, by kind and by "
                  "\"completed\" or the name of the error kind.\n"
                  "# TYPE burdockhead_requests_total counter\n"
                  "burdockhead_requests_total{kind=\"a\\\"b\",outcome=\"completed\"} 1\n"
                  "# TYPE some_gauge gauge\nsome_gauge 2.5\n"
                  "# TYPE some_seconds summary\nsome_seconds_sum 0.25\nsome_seconds_count 1\n");
}

BOOST_AUTO_TEST_CASE(a_gauge_described_as_counter_is_exported_as_counter)
{
    Metrics metrics;
    metrics.gauge("process_cpu_seconds_total").set(1);
    BOOST_TEST(metrics.toPrometheus().ends_with("# TYPE process_cpu_seconds_total counter\n"
                                                "process_cpu_seconds_total 1\n"));
}

BOOST_AUTO_TEST_CASE(label_sets_over_the_limit_share_one_series)
{
    Metrics metrics(2);
    for (const char *value : {"a", "b", "c", "d"})
        metrics.counter("n_total", {{"x", value}}).add();
    BOOST_TEST(metrics.counter("n_total", {{"x", "a"}}).value() == 1);
    BOOST_TEST(metrics.counter("n_total", {{"x", "z"}}).value() == 2);
}

BOOST_AUTO_TEST_CASE(concurrent_updates_are_all_counted)
{
    Metrics metrics;
    std::array<std::thread, 4> threads;
    for (std::thread &thread : threads)
        thread = std::thread([&metrics] {
            for (int count = 0; count < 1000; ++count) {
                metrics.counter("n_total").add();
                metrics.distribution("d_seconds").observe(count);
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(metrics.counter("n_total").value() == 4000);
    BOOST_TEST(metrics.distribution("d_seconds").count() == 4000U);
}

BOOST_AUTO_TEST_CASE(quantile_estimates_approximate_the_true_quantiles)
{
    Distribution distribution;
    distribution.observe(1);
    BOOST_TEST(distribution.quantiles().empty());
    for (int index = 0; index < 10000; ++index)
        distribution.observe((index * 7919) % 10000);
    for (const QuantileEstimate &estimate : distribution.quantiles())
        BOOST_TEST(std::abs(estimate.m_value - estimate.m_probability * 10000) < 300);
}

BOOST_AUTO_TEST_CASE(descriptions_follow_the_naming_conventions)
{
    for (const MetricDescription &description : metricDescriptions()) {
        const std::string name = description.m_name;
        const bool isCounter = description.m_type == std::string("counter");
        BOOST_TEST(name.ends_with("_total") == isCounter, name);
        BOOST_TEST(findMetricDescription(name) == &description);
    }
    BOOST_TEST(readProcessUsage().m_residentBytes > 0);
}

BOOST_AUTO_TEST_SUITE_END()
