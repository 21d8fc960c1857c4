// Metrics of the reads of one log stream.

#ifndef CELL_SRC_LOG_READ_METRICS_H_
#define CELL_SRC_LOG_READ_METRICS_H_

#include <string>

#include "base/metrics.h"

namespace azurespur::cell {

struct LogReadMetrics {
  LogReadMetrics(base::Metrics& metrics, const std::string& stream)
      : LogReadMetrics(metrics, Labels{"{stream=\"" + stream + "\"}"}) {}

  base::Counter& bytes;
  base::Counter& failures;
  base::Counter& asked_bytes;     // By the last read.
  base::Counter& behind_records;  // As of the last read.
  base::Distribution& duration_ms;

 private:
  struct Labels {
    std::string text;
  };

  LogReadMetrics(base::Metrics& metrics, const Labels& labels)
      : bytes(
            metrics.GetCounter("azurespur_log_read_bytes_total" + labels.text)),
        failures(metrics.GetCounter("azurespur_log_reads_failed_total" +
                                    labels.text)),
        asked_bytes(
            metrics.GetCounter("azurespur_log_read_asked_bytes" + labels.text)),
        behind_records(
            metrics.GetCounter("azurespur_log_behind_records" + labels.text)),
        duration_ms(
            metrics.GetDistribution("azurespur_log_read_ms" + labels.text)) {}
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_LOG_READ_METRICS_H_
