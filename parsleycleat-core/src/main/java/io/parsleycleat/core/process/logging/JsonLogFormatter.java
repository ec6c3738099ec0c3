package io.parsleycleat.core.process.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.stream.IntStream;

/**
 * Writes each log record as one JSON object on a line of its own.
 *
 * <p>Created by {@link Logging}; safe to share between threads.
 */
public final class JsonLogFormatter extends Formatter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CONTEXT_MARK = " [CONTEXT ";

    private final String vmName;

    JsonLogFormatter(String vmName) {
        this.vmName = vmName;
    }

    @Override
    public String format(LogRecord entry) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", entry.getInstant().toString());
        line.put("level", entry.getLevel().getName());
        line.put("vm", vmName);
        line.put("logger", entry.getLoggerName());
        line.put("message", messageOf(entry));
        if (entry instanceof AbstractLogRecord structured) {
            addFields(line, structured.getLogData());
        }
        if (entry.getThrown() != null) {
            line.put("error", stackTrace(entry.getThrown()));
        }
        return write(line);
    }

    private String messageOf(LogRecord entry) {
        String message = formatMessage(entry);
        int mark = message.indexOf(CONTEXT_MARK);
        return mark < 0 ? message : message.substring(0, mark);
    }

    private static void addFields(ObjectNode line, LogData data) {
        Metadata fields = data.getMetadata();
        IntStream.range(0, fields.size())
                .filter(i -> !"cause".equals(fields.getKey(i).getLabel()))
                .forEach(i -> line.put(fields.getKey(i).getLabel(), String.valueOf(fields.getValue(i))));
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }

    private static String write(ObjectNode line) {
        try {
            return MAPPER.writeValueAsString(line) + System.lineSeparator();
        } catch (JsonProcessingException e) {
            return "{\"level\":\"SEVERE\",\"message\":\"a log record could not be written\"}" + System.lineSeparator();
        }
    }
}
